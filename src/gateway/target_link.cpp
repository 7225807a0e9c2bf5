#include "mimosavalve/gateway/target_link.hpp"

#include <array>
#include <limits>

#include "mimosavalve/core/error.hpp"

namespace mimosavalve::gateway {

namespace detail {

constexpr std::size_t link_read_bytes = 16384;
// Idle connections are not reused during this last part of the idle timeout that the target
// announces.
constexpr std::chrono::milliseconds idle_margin{1000};
// For targets that announce no idle timeout.
constexpr std::chrono::milliseconds default_idle_time{5000};

// Time for which a connection may be reused, from a Keep-Alive field such as "timeout=5".
std::chrono::milliseconds idle_time_of(std::string_view field) {
    constexpr std::string_view name = "timeout=";
    const auto position = field.find(name);
    if (position == std::string_view::npos) {
        return default_idle_time;
    }
    const auto seconds =
        std::strtoul(std::string(field.substr(position + name.size())).c_str(), nullptr, 10);
    return std::chrono::seconds(seconds) - idle_margin;
}

}  // namespace detail

target_link::target_link(std::unique_ptr<stream> connection, std::string request_id_header)
    : connection_(std::move(connection)), request_id_header_(std::move(request_id_header)) {}

void target_link::begin_request(std::string_view head, std::string request_id, bool expects_body,
                                callbacks handlers) {
    callbacks_ = std::move(handlers);
    request_id_ = std::move(request_id);
    sent_before_ = connection_->sent_bytes();
    answered_ = false;
    has_request_ = true;
    input_.clear();
    expects_body_ = expects_body;
    start_parser();
    connection_->set_callbacks({[this] { read(); },
                                [this] {
                                    if (has_request_ && callbacks_.drained) {
                                        callbacks_.drained();
                                    }
                                },
                                [this](std::error_code error) { fail(error); }});
    connection_->set_reading_enabled(true);
    connection_->write(head);
}

void target_link::write(std::string_view data) {
    connection_->write(data);
}

void target_link::start_parser() {
    message_events events;
    events.head = [this](const message_head& head) {
        const auto id = field_of(head, request_id_header_);
        is_answer_to_other_request_ = id != request_id_;
        if (is_answer_to_other_request_ && head.keep_alive) {
            return;
        }
        if (!head.keep_alive) {
            is_reusable_ = false;
        }
        idle_until =
            std::chrono::steady_clock::now() + detail::idle_time_of(field_of(head, "keep-alive"));
        if (!is_answer_to_other_request_ && callbacks_.head) {
            callbacks_.head(head);
        }
    };
    events.body = [this](std::string_view part) {
        if (!is_answer_to_other_request_ && callbacks_.body) {
            // A copy, since the handler may end the request and so replace the callbacks.
            const auto body = callbacks_.body;
            body(part);
        }
    };
    message_limits limits;
    // Long answers are passed on in parts, so their length needs no limit.
    limits.max_body_bytes = std::numeric_limits<std::uint64_t>::max();
    parser_ = std::make_unique<message_parser>(message_kind::answer, limits, events);
    if (!expects_body_) {
        parser_->expect_no_body();
    }
}

void target_link::read() {
    std::array<char, detail::link_read_bytes> chunk{};
    const auto got = connection_->read(chunk);
    if (got.would_block) {
        return;
    }
    const auto alive_token = std::weak_ptr<bool>(alive_);
    if (got.closed || got.error) {
        is_reusable_ = false;
        // The orderly end of the connection, unlike a reset, completes an answer without a length.
        if (got.closed && has_request_ && !is_answer_to_other_request_ && parser_->finish()) {
            answered_ = true;
            was_ended_by_close_ = true;
            has_doubtful_end_ = !connection_->has_delivered_all();
            const auto done = callbacks_.done;
            done();
            return;
        }
        fail(got.error ? got.error : std::make_error_code(std::errc::connection_reset));
        return;
    }
    input_.append(chunk.data(), got.bytes);
    while (!input_.empty()) {
        const auto fed = parser_->feed(input_);
        if (alive_token.expired()) {
            return;
        }
        if (!has_request_) {
            return;  // The handlers have given the request up.
        }
        input_.erase(0, fed.consumed);
        if (fed.error != parse_error::none) {
            fail(make_error_code(errc::malformed_message));
            return;
        }
        if (!parser_->is_done()) {
            return;
        }
        if (is_answer_to_other_request_) {
            report_discarded("answer to another request");
            start_parser();
            continue;
        }
        // Bytes after a complete answer belong to no request, so the link is not reused.
        if (!input_.empty()) {
            is_reusable_ = false;
            report_discarded("bytes after the answer");
        }
        input_.clear();
        answered_ = true;
        const auto done = callbacks_.done;
        done();
        return;
    }
}

void target_link::report_discarded(std::string_view what) {
    if (callbacks_.discarded) {
        callbacks_.discarded(what);
    }
}

void target_link::fail(std::error_code error) {
    is_reusable_ = false;
    connection_->close();
    if (has_request_ && !answered_) {
        const auto lost = callbacks_.lost;
        lost(error);
    }
}

void target_link::end_request() {
    has_request_ = false;
    is_reusable_ =
        is_reusable_ && answered_ && connection_->queued_bytes() == 0 && connection_->is_open();
    callbacks_ = {};
    if (!answered_) {
        connection_->reset();
        return;
    }
    if (!is_reusable_) {
        connection_->close();
        return;
    }
    parser_.reset();
    input_.shrink_to_fit();
    connection_->set_reading_enabled(false);
    connection_->set_callbacks({});
}

bool target_link::is_still_usable() {
    std::array<char, 1> probe{};
    return connection_->is_open() && std::chrono::steady_clock::now() < idle_until &&
           connection_->read(probe).would_block;
}

}  // namespace mimosavalve::gateway
