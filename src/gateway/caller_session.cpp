#include "caller_session.hpp"

#include <array>
#include <utility>

namespace mimosavalve::gateway {

namespace detail {

constexpr std::size_t session_read_bytes = 16384;
// Maximum number of bytes that are read ahead while no further request may be begun.
constexpr std::size_t max_read_ahead_bytes = 16384;
// Maximum number of requests of one connection that are forwarded at a time. Each may hold an
// answer of `max_whole_answer_bytes`.
constexpr std::size_t max_pipelined_requests = 16;
// Bytes of answers of all connections that wait for answers before them, from which on connections
// forward one request at a time.
constexpr std::size_t max_queued_answer_bytes = 8U << 20U;
// Added to the configured idle timeout. Callers reuse connections only up to four fifths of it, so
// a small margin suffices.
constexpr std::chrono::milliseconds idle_margin{1000};
// Time in which the first request of a new connection arrives: a caller sends it as soon as the
// connection is open.
constexpr std::chrono::milliseconds first_request_time{500};
// Maximum size of what a router adds to the head of a request that it forwards.
constexpr std::uint32_t max_forwarding_bytes = 4096;
// Time for the caller to close its side after the last answer. Most callers do so at once.
constexpr std::chrono::milliseconds linger_time{1000};

}  // namespace detail

caller_session::caller_session(router_core& core, std::unique_ptr<stream> connection,
                               std::function<void(caller_session*)> on_closed, bool is_forwarding)
    : core_(core),
      connection_(std::move(connection)),
      on_closed_(std::move(on_closed)),
      is_forwarding_(is_forwarding) {
    connection_->set_callbacks({[this] { read(); },
                                [this] {
                                    if (is_closing_ && has_caller_finished_) {
                                        close();
                                    } else if (is_closing_) {
                                        close_at_ = steady::now() + detail::linger_time;
                                    } else if (!requests_.empty() &&
                                               requests_.front()->forwarding) {
                                        requests_.front()->forwarding->resume_answer();
                                    }
                                },
                                [this](std::error_code) { on_caller_left(); }});
    start_parser();
    connection_->set_reading_enabled(true);
}

caller_session::~caller_session() {
    for (const auto& request : requests_) {
        core_.queued_answer_bytes -= request->queued_answer.size();
    }
}

void caller_session::start_parser() {
    message_limits bounds;
    bounds.max_header_bytes = core_.state.config.limits.max_header_bytes +
                              (is_forwarding_ ? detail::max_forwarding_bytes : 0);
    bounds.max_body_bytes = core_.state.config.limits.max_body_bytes;
    message_events events;
    events.head = [this](message_head head) { begin_request(std::move(head)); };
    events.body = [this](std::string_view data) { requests_.back()->forwarding->add_body(data); };
    events.done = [this] {
        is_request_read_ = true;
        requests_.back()->is_read = true;
        requests_.back()->forwarding->end_body();
        if (requests_.back()->is_answered) {
            defer(&caller_session::advance);
        }
    };
    parser_ = std::make_unique<message_parser>(message_kind::request, bounds, events);
    is_request_read_ = false;
}

void caller_session::read() {
    std::array<char, detail::session_read_bytes> chunk{};
    const auto unread = is_reading_body() ? std::nullopt : connection_->time_since_receipt();
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
    arrivals_.push_back({got.bytes, last_active_ - unread.value_or(milliseconds(0)), unread});
    parse_input();
}

bool caller_session::may_begin_request() const {
    return requests_.empty() ||
           (!ends_with_last_ && requests_.size() < detail::max_pipelined_requests &&
            core_.queued_answer_bytes < detail::max_queued_answer_bytes);
}

void caller_session::consume_input(std::size_t bytes) {
    input_.erase(0, bytes);
    auto first = arrivals_.begin();
    for (; first != arrivals_.end() && first->bytes <= bytes; ++first) {
        bytes -= first->bytes;
    }
    if (first != arrivals_.end()) {
        first->bytes -= bytes;
    }
    arrivals_.erase(arrivals_.begin(), first);
}

void caller_session::parse_input() {
    if (is_closed_ || is_closing_ || is_parsing_) {
        return;
    }
    while (!input_.empty()) {
        if (!is_reading_body() && !may_begin_request()) {
            break;
        }
        if (is_request_read_) {
            start_parser();
        }
        is_parsing_ = true;
        const auto fed = parser_->feed(input_);
        is_parsing_ = false;
        consume_input(fed.consumed);
        if (fed.error != parse_error::none) {
            constexpr unsigned bad_request = 400;
            constexpr unsigned too_large = 413;
            constexpr unsigned header_too_large = 431;
            constexpr unsigned not_implemented = 501;
            reject(fed.error == parse_error::header_too_large ? header_too_large
                   : fed.error == parse_error::body_too_large ? too_large
                   : fed.error == parse_error::unknown_coding ? not_implemented
                                                              : bad_request);
            return;
        }
        if (fed.consumed == 0) {
            break;
        }
    }
    update_reading();
}

bool caller_session::is_reading_body() const {
    return !is_request_read_ && parser_->has_head();
}

void caller_session::update_reading() {
    connection_->set_reading_enabled(is_reading_body()
                                         ? requests_.back()->forwarding->should_read_body()
                                         : input_.size() < detail::max_read_ahead_bytes);
}

bool caller_session::must_be_first(const message_head& head) const {
    if (requests_.empty()) {
        return false;
    }
    const auto found = core_.state.routes.find(field_of(head, "host"), path_of(head));
    return !found || !is_idempotent(core_.state.config.routes[*found].kind);
}

void caller_session::begin_request(message_head head) {
    const bool expects_continue = !field_of(head, "expect").empty();
    const bool waits = must_be_first(head);
    const request_arrival arrived{arrivals_.front().at, requests_.size(), arrivals_.front().unread,
                                  is_forwarding_};
    auto& request = *requests_.emplace_back(std::make_unique<pending_request>());
    request.forwarding =
        std::make_unique<exchange>(core_, std::move(head), make_sink(request), arrived);
    ends_with_last_ = !request.forwarding->keeps_connection_open();
    if (!waits) {
        request.is_started = true;
        request.forwarding->start();
    }
    if (expects_continue && !request.forwarding->is_done()) {
        deliver(request, "HTTP/1.1 100 Continue\r\n\r\n");
    }
}

answer_sink caller_session::make_sink(pending_request& request) {
    answer_sink sink;
    sink.send_whole = [this, &request](const std::string& text) {
        deliver(request, text);
        end_answer(request);
    };
    sink.send_part = [this, &request](const std::string& text) {
        ends_with_last_ = ends_with_last_ || !request.forwarding->keeps_connection_open();
        deliver(request, text);
    };
    sink.end = [this, &request] { end_answer(request); };
    sink.abort = [this, &request] {
        request.is_broken_off = true;
        defer(&caller_session::advance);
    };
    sink.room_changed = [this, &request] {
        if (!request.is_read && request.forwarding->should_read_body()) {
            connection_->set_reading_enabled(true);
        }
    };
    sink.unsent_bytes = [this, &request] {
        return connection_->queued_bytes() + request.queued_answer.size();
    };
    sink.has_caller_left = [this] { return connection_->has_peer_closed(); };
    sink.is_last = [this, &request] { return requests_.back().get() == &request; };
    return sink;
}

void caller_session::deliver(pending_request& request, std::string_view text) {
    if (requests_.front().get() == &request) {
        connection_->write(text);
        return;
    }
    request.queued_answer.append(text);
    core_.queued_answer_bytes += text.size();
}

void caller_session::end_answer(pending_request& request) {
    request.is_answered = true;
    request.closes = !request.forwarding->keeps_connection_open();
    ends_with_last_ = ends_with_last_ || request.closes;
    defer(&caller_session::advance);
}

void caller_session::advance() {
    if (is_closed_ || is_closing_) {
        return;
    }
    while (!requests_.empty()) {
        auto& first = *requests_.front();
        if (!first.is_started) {
            first.is_started = true;
            first.forwarding->start();
        }
        if (!first.queued_answer.empty()) {
            core_.queued_answer_bytes -= first.queued_answer.size();
            connection_->write(std::exchange(first.queued_answer, {}));
            if (first.forwarding) {
                first.forwarding->resume_answer();
            }
        }
        if (first.is_broken_off) {
            abort();
            return;
        }
        if (!first.is_answered || !first.is_read) {
            break;
        }
        const bool closes = first.closes;
        remove_first();
        last_active_ = steady::now();
        if (closes) {
            start_closing();
            return;
        }
    }
    if (requests_.empty()) {
        input_.shrink_to_fit();
    }
    parse_input();
}

void caller_session::remove_first() {
    auto first = std::move(requests_.front());
    requests_.erase(requests_.begin());
    core_.defer([kept = std::shared_ptr<pending_request>(std::move(first))] {});
}

void caller_session::reject(unsigned status) {
    core_.log.write("request_rejected", {{"status", std::int64_t{status}}});
    const bool is_body_malformed = is_reading_body();
    input_.clear();
    arrivals_.clear();
    is_request_read_ = true;
    ends_with_last_ = true;
    if (!is_body_malformed) {
        requests_.push_back(std::make_unique<pending_request>());
    }
    auto& request = *requests_.back();
    request.is_started = true;
    request.is_read = true;
    request.closes = true;
    if (request.forwarding) {
        request.forwarding->cancel();
        request.is_broken_off = !request.is_answered && request.forwarding->has_begun_answer();
    }
    if (!request.is_answered && !request.is_broken_off) {
        std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
        text.append(reason_phrase(status));
        text.append("\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        request.is_answered = true;
        deliver(request, text);
    }
    defer(&caller_session::advance);
}

void caller_session::start_closing() {
    is_closing_ = true;
    close_at_ = steady::now() + detail::linger_time;
    cancel_requests();
    input_.clear();
    arrivals_.clear();
    connection_->finish_writing();
    connection_->set_reading_enabled(true);
}

void caller_session::cancel_requests() {
    for (const auto& request : requests_) {
        if (request->forwarding) {
            request->forwarding->cancel();
        }
    }
    while (!requests_.empty()) {
        core_.queued_answer_bytes -= requests_.front()->queued_answer.size();
        remove_first();
    }
}

void caller_session::on_caller_left() {
    cancel_requests();
    close();
}

void caller_session::check_time(steady::time_point now) {
    if (is_closing_) {
        if (connection_->queued_bytes() == 0 && now >= close_at_) {
            close();
        }
        return;
    }
    if (!requests_.empty()) {
        const bool is_paused =
            is_reading_body() && !requests_.back()->forwarding->should_read_body();
        // While the caller is not read, no read tells that it has left.
        if (is_paused && connection_->has_peer_closed()) {
            count(core_.metrics, "callers_left_unread");
            on_caller_left();
        }
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
    // The first request of a new connection may be on its way.
    const bool is_new = !is_request_read_ && !parser_->has_started();
    if (is_new && steady::now() - last_active_ < detail::first_request_time) {
        return;
    }
    // A close with unread bytes would reset the connection.
    read();
    if (!is_busy() && !is_closing_) {
        close();
    }
}

void caller_session::end_with_process() {
    if (requests_.empty() || is_closing_) {
        return;
    }
    ends_with_last_ = true;
    for (const auto& request : requests_) {
        request->is_started = true;
        if (request->forwarding) {
            request->forwarding->end_with_process();
        }
    }
    is_request_read_ = true;
    requests_.back()->is_read = true;
    requests_.back()->closes = true;
    defer(&caller_session::advance);
}

void caller_session::defer(void (caller_session::*step)()) {
    core_.defer([this, step, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) {
            (this->*step)();
        }
    });
}

void caller_session::abort() {
    cancel_requests();
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
