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

call_client::call_client(boost::asio::io_context& context, std::size_t most_connections)
    : context_(context), most_connections_(most_connections) {}
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
        const auto found = error ? running_.end() : running_.find(number);
        if (found != running_.end()) {
            end(*found->second, make_error_code(std::errc::timed_out));
        }
    });
    auto& placed = *running_.emplace(number, std::move(added)).first->second;
    auto& use = uses_[to];
    if (use.running < most_connections_) {
        ++use.running;
        placed.started = true;
        start(placed, false);
    } else {
        use.queued.push_back(number);
    }
}

void call_client::start_next(const tcp::endpoint& to) {
    auto& use = uses_[to];
    while (!use.queued.empty()) {
        const auto found = running_.find(use.queued.front());
        use.queued.pop_front();
        if (found != running_.end()) {
            found->second->started = true;
            start(*found->second, false);
            return;
        }
    }
    --use.running;
    if (use.running == 0) {
        uses_.erase(to);
    }
}

void call_client::start(exchange& running, bool fresh_only) {
    auto& idle = idle_[running.to];
    const auto now = std::chrono::steady_clock::now();
    while (!fresh_only && !idle.empty()) {
        auto taken = std::move(idle.back());
        idle.pop_back();
        std::array<char, 1> probe{};
        if (now - taken.since < detail::longest_idle && taken.connection->read(probe).would_block) {
            begin(running, std::move(taken.connection), true);
            return;
        }
    }
    running.opening = std::make_unique<connector>(
        context_, running.to, running.deadline,
        [this, &running](std::error_code error, std::unique_ptr<stream> connection) {
            if (error) {
                end(running, make_error_code(errc::target_unreachable));
            } else {
                begin(running, std::move(connection), false);
            }
        });
}

void call_client::begin(exchange& running, std::unique_ptr<stream> connection, bool reused) {
    running.connection = std::move(connection);
    running.reused = reused;
    running.begun = std::chrono::steady_clock::now();
    running.input.clear();
    running.answer = {};
    message_events events;
    events.head = [&running](message_head head) { running.answer.head = std::move(head); };
    events.body = [&running](std::string_view part) { running.answer.body.append(part); };
    message_bounds bounds;
    bounds.body_bytes = detail::most_answer_bytes;
    running.parser = std::make_unique<message_parser>(message_kind::answer, bounds, events);
    running.connection->set_callbacks(
        {[this, &running] { read(running); },
         {},
         [this, &running](std::error_code error) { end(running, error); }});
    running.connection->want_read(true);
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
            end(running, {});
            return;
        }
        // A kept connection that ends before any byte of an answer was closed while idle.
        if (running.reused && !running.parser->started() &&
            std::chrono::steady_clock::now() - running.begun < detail::idle_close_time) {
            running.connection.reset();
            start(running, true);
            return;
        }
        end(running, got.error ? got.error : make_error_code(std::errc::connection_reset));
        return;
    }
    running.input.append(chunk.data(), got.bytes);
    const auto fed = running.parser->feed(running.input);
    running.input.erase(0, fed.used);
    if (fed.error != parse_error::none) {
        end(running, make_error_code(errc::malformed_message));
    } else if (running.parser->is_done()) {
        end(running, {});
    }
}

void call_client::end(exchange& running, std::error_code error) {
    const auto found = running_.find(running.number);
    if (found == running_.end()) {
        return;
    }
    auto ended = std::move(found->second);
    running_.erase(found);
    if (error && ended->connection) {
        ended->connection->reset();
    }
    if (!error && ended->answer.head.keep_alive && ended->input.empty()) {
        auto& idle = idle_[ended->to];
        if (idle.size() < detail::most_idle_per_endpoint) {
            ended->connection->want_read(false);
            ended->connection->set_callbacks({});
            idle.push_back({std::move(ended->connection), std::chrono::steady_clock::now()});
        }
    }
    if (ended->started) {
        start_next(ended->to);
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
