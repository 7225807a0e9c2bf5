#include "mimosavalve/gateway/call_client.hpp"

#include <array>
#include <boost/asio/post.hpp>

#include "mimosavalve/core/error.hpp"

namespace mimosavalve::gateway {

namespace detail {

// Below the idle time of common servers, so that a call rarely meets a connection that is closing.
constexpr std::chrono::seconds longest_idle{5};
constexpr std::size_t most_idle_per_endpoint = 4;
// A kept connection that ends later than this after the call was cut, not closed while idle.
constexpr std::chrono::milliseconds idle_close_time{200};
constexpr std::size_t call_read_bytes = 16384;
constexpr std::uint64_t most_answer_bytes = 16ULL << 20U;

std::string text_of(const call& what, const tcp::endpoint& to) {
    std::string text = what.method + " " + what.target + " HTTP/1.1\r\n";
    append_field(
        text, "Host",
        what.host.empty() ? to.address().to_string() + ":" + std::to_string(to.port()) : what.host);
    for (const auto& field : what.fields) {
        append_field(text, field.name, field.value);
    }
    if (!what.content_type.empty()) {
        append_field(text, "Content-Type", what.content_type);
    }
    if (!what.content_type.empty() || what.method == "POST") {
        append_field(text, "Content-Length", std::to_string(what.body.size()));
    }
    return text + "\r\n" + what.body;
}

}  // namespace detail

struct call_client::exchange {
    std::uint64_t number = 0;
    tcp::endpoint to;
    call what;
    call_deadline deadline;
    handler done;
    std::unique_ptr<connector> opening;
    std::unique_ptr<stream> connection;
    std::unique_ptr<message_parser> parser;
    boost::asio::steady_timer timer;
    std::string input;
    call_answer answer;
    bool reused = false;
    std::chrono::steady_clock::time_point begun;
    bool started = false;

    explicit exchange(boost::asio::io_context& context) : timer(context) {}
};

call_client::call_client(boost::asio::io_context& context, std::size_t max_connections)
    : context_(context), max_connections_(max_connections) {}
call_client::~call_client() = default;

void call_client::send(const tcp::endpoint& to, call what, call_deadline deadline, handler done) {
    auto added = std::make_unique<exchange>(context_);
    added->number = next_number_++;
    added->to = to;
    added->what = std::move(what);
    added->deadline = deadline;
    added->done = std::move(done);
    added->timer.expires_at(deadline);
    const auto number = added->number;
    added->timer.async_wait([this, number](auto error) {
        const auto found = error ? exchanges_.end() : exchanges_.find(number);
        if (found != exchanges_.end()) {
            finish(*found->second, make_error_code(std::errc::timed_out));
        }
    });
    auto& placed = *exchanges_.emplace(number, std::move(added)).first->second;
    auto& state = endpoints_[to];
    if (state.active_calls < max_connections_) {
        ++state.active_calls;
        placed.started = true;
        open_connection(placed, false);
    } else {
        state.queued.push_back(number);
    }
}

void call_client::start_next_queued(const tcp::endpoint& to) {
    auto& state = endpoints_[to];
    while (!state.queued.empty()) {
        const auto found = exchanges_.find(state.queued.front());
        state.queued.pop_front();
        if (found != exchanges_.end()) {
            found->second->started = true;
            open_connection(*found->second, false);
            return;
        }
    }
    --state.active_calls;
    if (state.active_calls == 0) {
        endpoints_.erase(to);
    }
}

void call_client::open_connection(exchange& running, bool fresh_only) {
    auto& idle = idle_connections_[running.to];
    const auto now = std::chrono::steady_clock::now();
    while (!fresh_only && !idle.empty()) {
        auto taken = std::move(idle.back());
        idle.pop_back();
        std::array<char, 1> probe{};
        if (now - taken.since < detail::longest_idle && taken.connection->read(probe).would_block) {
            send_request(running, std::move(taken.connection), true);
            return;
        }
    }
    running.opening = std::make_unique<connector>(
        context_, running.to, running.deadline,
        [this, &running](std::error_code error, std::unique_ptr<stream> connection) {
            if (error) {
                finish(running, make_error_code(errc::target_unreachable));
            } else {
                send_request(running, std::move(connection), false);
            }
        });
}

void call_client::send_request(exchange& running, std::unique_ptr<stream> connection, bool reused) {
    running.connection = std::move(connection);
    running.reused = reused;
    running.begun = std::chrono::steady_clock::now();
    running.input.clear();
    running.answer = {};
    message_events events;
    events.head = [&running](message_head head) { running.answer.head = std::move(head); };
    events.body = [&running](std::string_view part) { running.answer.body.append(part); };
    message_limits bounds;
    bounds.max_body_bytes = detail::most_answer_bytes;
    running.parser = std::make_unique<message_parser>(message_kind::answer, bounds, events);
    running.connection->set_callbacks(
        {[this, &running] { read(running); },
         {},
         [this, &running](std::error_code error) { finish(running, error); }});
    running.connection->set_reading_enabled(true);
    running.connection->write(detail::text_of(running.what, running.to));
}

void call_client::read(exchange& running) {
    std::array<char, detail::call_read_bytes> chunk{};
    const auto got = running.connection->read(chunk);
    if (got.would_block) {
        return;
    }
    if (got.closed || got.error) {
        if (running.parser->finish()) {
            running.answer.head.keep_alive = false;
            finish(running, {});
            return;
        }
        // A kept connection that ends before any byte of an answer was closed while idle.
        if (running.reused && !running.parser->has_started() &&
            std::chrono::steady_clock::now() - running.begun < detail::idle_close_time) {
            running.connection.reset();
            open_connection(running, true);
            return;
        }
        finish(running, got.error ? got.error : make_error_code(std::errc::connection_reset));
        return;
    }
    running.input.append(chunk.data(), got.bytes);
    const auto fed = running.parser->feed(running.input);
    running.input.erase(0, fed.consumed);
    if (fed.error != parse_error::none) {
        finish(running, make_error_code(errc::malformed_message));
    } else if (running.parser->is_done()) {
        finish(running, {});
    }
}

void call_client::finish(exchange& running, std::error_code error) {
    const auto found = exchanges_.find(running.number);
    if (found == exchanges_.end()) {
        return;
    }
    auto ended = std::move(found->second);
    exchanges_.erase(found);
    if (error && ended->connection) {
        ended->connection->reset();
    }
    if (!error && ended->answer.head.keep_alive && ended->input.empty()) {
        auto& idle = idle_connections_[ended->to];
        if (idle.size() < detail::most_idle_per_endpoint) {
            ended->connection->set_reading_enabled(false);
            ended->connection->set_callbacks({});
            idle.push_back({std::move(ended->connection), std::chrono::steady_clock::now()});
        }
    }
    if (ended->started) {
        start_next_queued(ended->to);
    } else if (error == std::errc::timed_out) {
        // It never left the queue.
        error = make_error_code(errc::target_unreachable);
    }
    const auto done = std::move(ended->done);
    auto answer = std::move(ended->answer);
    // The exchange may be on the call stack of its own connection; it ends after that.
    boost::asio::post(context_, [kept = std::shared_ptr<exchange>(std::move(ended))] {});
    done(error, std::move(answer));
}

}  // namespace mimosavalve::gateway
