#include "mimosavalve/gateway/call_client.hpp"

#include <array>
#include <boost/asio/post.hpp>

#include "mimosavalve/core/error.hpp"

namespace mimosavalve::gateway {

namespace detail {

// Shorter than the idle timeout of common servers, so that calls are rarely sent on a connection
// that the server is closing.
constexpr std::chrono::seconds max_idle_time{5};
constexpr std::size_t max_idle_per_endpoint = 4;
// A reused connection that ends later than this after the start of a call is assumed to have broken
// during the call; one that ends earlier, to have been closed by the server while it was idle.
constexpr std::chrono::milliseconds idle_close_delay{200};
constexpr std::size_t call_read_bytes = 16384;
// Maximum pause in an answer that arrives after the call's deadline.
constexpr std::chrono::milliseconds max_transfer_pause{800};

std::string request_text_of(const call& request, const tcp::endpoint& to) {
    std::string text = request.method + " " + request.request_target + " HTTP/1.1\r\n";
    append_field(text, "Host",
                 request.host.empty() ? to.address().to_string() + ":" + std::to_string(to.port())
                                      : request.host);
    for (const auto& field : request.fields) {
        append_field(text, field.name, field.value);
    }
    if (!request.content_type.empty()) {
        append_field(text, "Content-Type", request.content_type);
    }
    if (!request.content_type.empty() || request.method == "POST") {
        append_field(text, "Content-Length", std::to_string(request.body.size()));
    }
    return text + "\r\n" + request.body;
}

}  // namespace detail

struct call_client::pending_call {
    std::uint64_t number = 0;
    tcp::endpoint to;
    call request;
    call_deadline deadline;
    handler done;
    std::unique_ptr<connector> opening;
    std::unique_ptr<stream> connection;
    std::unique_ptr<message_parser> parser;
    boost::asio::steady_timer timer;
    std::string input;
    call_answer answer;
    bool reused = false;
    std::chrono::steady_clock::time_point sent_at;
    std::chrono::steady_clock::time_point answered_since;  ///< First bytes of the answer.
    bool started = false;
    bool written = false;         ///< Whether the request may have left on a connection.
    bool has_progressed = false;  ///< Bytes have arrived since the timer was armed.

    explicit pending_call(boost::asio::io_context& context) : timer(context) {}
};

call_client::call_client(boost::asio::io_context& context, std::size_t max_connections,
                         std::uint64_t max_answer_bytes)
    : context_(context), max_connections_(max_connections), max_answer_bytes_(max_answer_bytes) {}
call_client::~call_client() = default;

void call_client::send(const tcp::endpoint& to, call request, call_deadline deadline,
                       handler done) {
    auto added = std::make_unique<pending_call>(context_);
    added->number = next_number_++;
    added->to = to;
    added->request = std::move(request);
    added->deadline = deadline;
    added->done = std::move(done);
    const auto number = added->number;
    arm_timer(*added, deadline);
    auto& placed = *pending_calls_.emplace(number, std::move(added)).first->second;
    auto& state = endpoints_[to];
    if (state.active_calls < max_connections_) {
        ++state.active_calls;
        placed.started = true;
        open_connection(placed, placed.request.own_connection);
    } else {
        state.queued.push_back(number);
    }
}

void call_client::arm_timer(pending_call& pending, call_deadline until) {
    pending.has_progressed = false;
    pending.timer.expires_at(until);
    pending.timer.async_wait([this, number = pending.number](auto error) {
        const auto found = error ? pending_calls_.end() : pending_calls_.find(number);
        if (found == pending_calls_.end()) {
            return;
        }
        auto& late = *found->second;
        const auto now = std::chrono::steady_clock::now();
        if (late.has_progressed && now < late.request.transfer_deadline) {
            // Another call would only transfer the same bytes again.
            arm_timer(late,
                      std::min(now + detail::max_transfer_pause, late.request.transfer_deadline));
        } else {
            finish(late, make_error_code(std::errc::timed_out));
        }
    });
}

void call_client::start_next_queued(const tcp::endpoint& to) {
    auto& state = endpoints_[to];
    while (!state.queued.empty()) {
        const auto found = pending_calls_.find(state.queued.front());
        state.queued.pop_front();
        if (found != pending_calls_.end()) {
            found->second->started = true;
            open_connection(*found->second, found->second->request.own_connection);
            return;
        }
    }
    --state.active_calls;
    if (state.active_calls == 0) {
        endpoints_.erase(to);
    }
}

void call_client::open_connection(pending_call& pending, bool fresh_only) {
    auto& idle = idle_connections_[pending.to];
    const auto now = std::chrono::steady_clock::now();
    while (!fresh_only && !idle.empty()) {
        auto taken = std::move(idle.back());
        idle.pop_back();
        std::array<char, 1> probe{};
        if (now - taken.since < detail::max_idle_time &&
            taken.connection->read(probe).would_block) {
            send_request(pending, std::move(taken.connection), true);
            return;
        }
    }
    pending.opening = std::make_unique<connector>(
        context_, pending.to, pending.deadline,
        [this, &pending](std::error_code error, std::unique_ptr<stream> connection) {
            if (error) {
                finish(pending, make_error_code(errc::target_unreachable));
            } else {
                send_request(pending, std::move(connection), false);
            }
        });
}

void call_client::send_request(pending_call& pending, std::unique_ptr<stream> connection,
                               bool reused) {
    // The loop may run late. The timer is due then, and ends the call.
    if (std::chrono::steady_clock::now() >= pending.deadline) {
        return;
    }
    pending.connection = std::move(connection);
    pending.reused = reused;
    pending.written = true;
    pending.sent_at = std::chrono::steady_clock::now();
    pending.input.clear();
    pending.answer = {};
    message_events events;
    events.head = [&pending](message_head head) { pending.answer.head = std::move(head); };
    events.body = [&pending](std::string_view part) { pending.answer.body.append(part); };
    message_limits bounds;
    bounds.max_body_bytes = max_answer_bytes_;
    pending.parser = std::make_unique<message_parser>(message_kind::answer, bounds, events);
    pending.connection->set_callbacks(
        {[this, &pending] { read(pending); },
         {},
         [this, &pending](std::error_code error) { finish(pending, error); }});
    pending.connection->set_reading_enabled(true);
    pending.connection->write(detail::request_text_of(pending.request, pending.to));
}

void call_client::read(pending_call& pending) {
    std::array<char, detail::call_read_bytes> chunk{};
    const auto got = pending.connection->read(chunk);
    if (got.would_block) {
        return;
    }
    if (got.closed || got.error) {
        // A reset, unlike an orderly end, does not complete an answer without a length.
        if (got.closed && pending.parser->finish()) {
            pending.answer.head.keep_alive = false;
            finish(pending, {});
            return;
        }
        // A reused connection that ends before any byte of an answer was closed while idle.
        if (pending.reused && !pending.parser->has_started() &&
            std::chrono::steady_clock::now() - pending.sent_at < detail::idle_close_delay) {
            pending.connection.reset();
            open_connection(pending, true);
            return;
        }
        finish(pending, got.error ? got.error : make_error_code(std::errc::connection_reset));
        return;
    }
    pending.has_progressed = true;
    if (!pending.parser->has_started()) {
        pending.answered_since = std::chrono::steady_clock::now();
    }
    pending.input.append(chunk.data(), got.bytes);
    const auto fed = pending.parser->feed(pending.input);
    pending.input.erase(0, fed.consumed);
    if (fed.error != parse_error::none) {
        finish(pending, make_error_code(errc::malformed_message));
    } else if (pending.parser->is_done()) {
        finish(pending, {});
    }
}

void call_client::finish(pending_call& pending, std::error_code error) {
    const auto found = pending_calls_.find(pending.number);
    if (found == pending_calls_.end()) {
        return;
    }
    auto ended = std::move(found->second);
    pending_calls_.erase(found);
    if (error && ended->connection) {
        ended->connection->reset();
    }
    if (!error && ended->answer.head.keep_alive && ended->input.empty() &&
        !ended->request.own_connection) {
        auto& idle = idle_connections_[ended->to];
        if (idle.size() < detail::max_idle_per_endpoint) {
            ended->connection->set_reading_enabled(false);
            ended->connection->set_callbacks({});
            idle.push_back({std::move(ended->connection), std::chrono::steady_clock::now()});
        }
    }
    if (ended->started) {
        start_next_queued(ended->to);
    }
    if (error == std::errc::timed_out && !ended->written) {
        error = make_error_code(errc::target_unreachable);
    }
    // A call that has left on a kept connection may have arrived, though no new one opens.
    if (error == errc::target_unreachable && ended->written) {
        error = make_error_code(std::errc::connection_reset);
    }
    const auto done = std::move(ended->done);
    auto answer = std::move(ended->answer);
    if (!error) {
        answer.transfer_time = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - ended->answered_since);
    }
    // The pending_call may be on the call stack of its own connection, so it is destroyed later.
    boost::asio::post(context_, [kept = std::shared_ptr<pending_call>(std::move(ended))] {});
    done(error, std::move(answer));
}

}  // namespace mimosavalve::gateway
