#include "caller_session.hpp"

#include <array>

namespace mimosavalve::gateway {

namespace detail {

constexpr std::size_t session_read_bytes = 16384;
// Maximum number of bytes of pipelined requests that are read before the current answer is
// complete.
constexpr std::size_t max_read_ahead_bytes = 16384;
// Added to the configured idle timeout. Callers reuse connections only up to four fifths of it, so
// a small margin suffices.
constexpr std::chrono::milliseconds idle_margin{1000};
// Time for the caller to close its side after the last answer. Most callers do so at once.
constexpr std::chrono::milliseconds linger_time{1000};

}  // namespace detail

caller_session::caller_session(router_core& core, std::unique_ptr<stream> connection,
                               std::function<void(caller_session*)> on_closed)
    : core_(core), connection_(std::move(connection)), on_closed_(std::move(on_closed)) {
    connection_->set_callbacks({[this] { read(); },
                                [this] {
                                    if (is_closing_ && has_caller_finished_) {
                                        close();
                                    } else if (is_closing_) {
                                        close_at_ = steady::now() + detail::linger_time;
                                    } else if (exchange_) {
                                        exchange_->resume_answer();
                                    }
                                },
                                [this](std::error_code) { on_caller_left(); }});
    start_parser();
    connection_->set_reading_enabled(true);
}

caller_session::~caller_session() = default;

void caller_session::start_parser() {
    message_limits bounds;
    bounds.max_header_bytes = core_.state.config.limits.max_header_bytes;
    bounds.max_body_bytes = core_.state.config.limits.max_body_bytes;
    message_events events;
    events.head = [this](message_head head) { begin_exchange(std::move(head)); };
    events.body = [this](std::string_view data) {
        if (exchange_) {
            exchange_->add_body(data);
        }
    };
    events.done = [this] {
        is_request_read_ = true;
        if (exchange_) {
            exchange_->end_body();
        }
    };
    parser_ = std::make_unique<message_parser>(message_kind::request, bounds, events);
    is_request_read_ = false;
    answered_ = false;
}

void caller_session::read() {
    std::array<char, detail::session_read_bytes> chunk{};
    const auto got = connection_->read(chunk);
    if (got.would_block) {
        return;
    }
    last_active_ = steady::now();
    if (got.closed && is_closing_ && connection_->queued_bytes() > 0) {
        // The caller sends nothing more, but may still read the answer.
        has_caller_finished_ = true;
        connection_->set_reading_enabled(false);
        return;
    }
    if (got.closed || got.error) {
        on_caller_left();
        return;
    }
    if (is_closing_) {
        return;
    }
    input_.append(chunk.data(), got.bytes);
    parse_input();
}

void caller_session::parse_input() {
    if (is_closed_ || is_parsing_) {
        return;
    }
    while (!input_.empty() && !is_request_read_) {
        is_parsing_ = true;
        const auto fed = parser_->feed(input_);
        is_parsing_ = false;
        input_.erase(0, fed.consumed);
        if (fed.error != parse_error::none) {
            constexpr unsigned bad_request = 400;
            constexpr unsigned too_large = 413;
            constexpr unsigned header_too_large = 431;
            reject(fed.error == parse_error::header_too_large ? header_too_large
                   : fed.error == parse_error::body_too_large ? too_large
                                                              : bad_request);
            return;
        }
        if (fed.consumed == 0) {
            break;
        }
    }
    if (is_request_read_ && answered_) {
        end_exchange();
        return;
    }
    const bool should_read = is_request_read_ ? input_.size() < detail::max_read_ahead_bytes
                                              : !exchange_ || exchange_->should_read_body();
    connection_->set_reading_enabled(should_read);
}

void caller_session::begin_exchange(message_head head) {
    const bool expects_continue = !field_of(head, "expect").empty();
    answer_sink sink;
    sink.send_whole = [this](const std::string& text) {
        answered_ = true;
        connection_->write(text);
        if (is_request_read_ && !is_parsing_) {
            defer(&caller_session::end_exchange);
        }
    };
    sink.send_part = [this](const std::string& text) { connection_->write(text); };
    sink.end = [this] {
        answered_ = true;
        if (is_request_read_ && !is_parsing_) {
            defer(&caller_session::end_exchange);
        }
    };
    sink.abort = [this] { defer(&caller_session::abort); };
    sink.room_changed = [this] {
        if (!is_request_read_ && exchange_ && exchange_->should_read_body()) {
            connection_->set_reading_enabled(true);
        }
    };
    sink.unsent_bytes = [this] { return connection_->queued_bytes(); };
    exchange_ = std::make_unique<exchange>(core_, std::move(head), std::move(sink));
    exchange_->start();
    if (expects_continue && !exchange_->is_done()) {
        connection_->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void caller_session::reject(unsigned status) {
    if (!exchange_ || !exchange_->is_done()) {
        std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
        text.append(reason_phrase(status));
        text.append("\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        connection_->write(text);
    }
    core_.log.write("request_rejected", {{"status", std::int64_t{status}}});
    if (exchange_) {
        exchange_->cancel();
    }
    start_closing();
}

void caller_session::start_closing() {
    is_closing_ = true;
    close_at_ = steady::now() + detail::linger_time;
    input_.clear();
    connection_->finish_writing();
    connection_->set_reading_enabled(true);
}

void caller_session::end_exchange() {
    if (is_closed_ || is_closing_ || !answered_ || !exchange_) {
        return;
    }
    const bool keep_alive = exchange_->keeps_connection_open();
    core_.defer([kept = std::shared_ptr<exchange>(std::move(exchange_))] {});
    last_active_ = steady::now();
    if (!keep_alive) {
        start_closing();
        return;
    }
    start_parser();
    input_.shrink_to_fit();
    connection_->set_reading_enabled(true);
    if (!input_.empty()) {
        parse_input();
    }
}

void caller_session::on_caller_left() {
    if (exchange_) {
        exchange_->cancel();
    }
    close();
}

void caller_session::check_time(steady::time_point now) {
    if (is_closing_) {
        if (connection_->queued_bytes() == 0 && now >= close_at_) {
            close();
        }
        return;
    }
    if (exchange_) {
        return;
    }
    const auto& limits = core_.state.config.limits;
    const auto max_inactivity =
        input_.empty() ? limits.idle_timeout + detail::idle_margin : limits.header_timeout;
    if (now - last_active_ > max_inactivity) {
        input_.empty() ? close_if_idle() : close();
    }
}

void caller_session::close_if_idle() {
    if (is_busy() || is_closing_) {
        return;
    }
    // A close with unread bytes would reset the connection.
    read();
    if (!is_busy() && !is_closing_) {
        close();
    }
}

void caller_session::end_with_process() {
    if (!exchange_ || is_closing_) {
        return;
    }
    exchange_->end_with_process();
    if (!is_request_read_) {
        start_closing();
    }
}

void caller_session::defer(void (caller_session::*step)()) {
    core_.defer([this, step, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) {
            (this->*step)();
        }
    });
}

void caller_session::abort() {
    connection_->reset();
    close();
}

void caller_session::close() {
    if (is_closed_) {
        return;
    }
    is_closed_ = true;
    connection_->close();
    on_closed_(this);
}

}  // namespace mimosavalve::gateway
