#pragma once

#include <fcntl.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

#include "gateway/caller_session.hpp"
#include "gateway/internal_server.hpp"

namespace mimosavalve::gateway::testing {

using std::chrono::milliseconds;

inline constexpr std::string_view endless = "ENDLESS";
inline constexpr std::string_view repeat = "REPEAT";
inline constexpr std::string_view cut = "CUT";
inline constexpr std::string_view reset = "RESET";

/// Target that answers each request with the next scripted text; "CLOSE" closes the connection, and
/// an empty text sends nothing. After a text that begins with "ENDLESS", the rest of the text and
/// then filler are sent until the connection is closed. A text that begins with "REPEAT" first
/// sends the last answer once more, on the connection that carried it. After a text that begins
/// with "CUT" or "RESET", the connection is closed or reset.
class scripted_target {
public:
    explicit scripted_target(boost::asio::io_context& context)
        : listener_(context, {boost::asio::ip::address_v4::loopback(), 0},
                    [this](std::unique_ptr<stream> connection) { add(std::move(connection)); }) {}

    [[nodiscard]] std::string address() const {
        return "127.0.0.1:" + std::to_string(listener_.address().port());
    }

    void drop_connections() { connections_.clear(); }
    /// Answers the request with this number in `received`.
    void answer(std::size_t number, std::string text) {
        const auto& request = received.at(number);
        const auto id = request.find("Request-Id: ");
        const auto mark = text.find("$ID");
        if (mark != std::string::npos && id != std::string::npos) {
            text.replace(mark, 3, request.substr(id + 12, request.find('\r', id) - id - 12));
        }
        write_answer(*received_on_.at(number), std::move(text));
    }
    /// Sends a text on the connection that carried the last answer.
    void send_unasked(const std::string& text) { last_answered_->write(text); }

    std::vector<std::string> script;
    std::vector<std::string> received;  ///< Received bytes of each request.
    std::size_t filler_bytes = 0;       ///< Accepted by the kernel, of all connections.
    int endless_connections = 0;        ///< Open connections on which filler is sent.
    int connections = 0;

private:
    void add(std::unique_ptr<stream> connection) {
        ++connections;
        auto& placed = *connections_.emplace_back(std::move(connection));
        placed.set_callbacks({[this, &placed] { read(placed); }, {}, [](std::error_code) {}});
        placed.set_reading_enabled(true);
    }
    void read(stream& from) {
        std::array<char, 65536> chunk{};
        const auto got = from.read(chunk);
        if (got.closed || got.error) {
            from.set_reading_enabled(false);
            from.close();
            return;
        }
        const std::string text(chunk.data(), got.bytes);
        if (text.find(" HTTP/1.1\r\n") == std::string::npos) {
            received.back() += text;
            return;
        }
        received.push_back(text);
        received_on_.push_back(&from);
        if (script.empty()) {
            return;
        }
        const auto next = script.front();
        script.erase(script.begin());
        answer(received.size() - 1, next);
    }
    void write_answer(stream& from, std::string answer) {
        if (answer.starts_with(repeat)) {
            answer.erase(0, repeat.size());
            send_unasked(last_answer_);
        }
        if (answer.starts_with(cut) || answer.starts_with(reset)) {
            const bool is_orderly = answer.starts_with(cut);
            from.write(answer.substr(is_orderly ? cut.size() : reset.size()));
            from.set_reading_enabled(false);
            is_orderly ? from.close() : from.reset();
        } else if (answer == "CLOSE") {
            from.set_reading_enabled(false);
            from.close();
        } else if (answer.starts_with(endless)) {
            ++endless_connections;
            from.set_callbacks({[this, &from] { read(from); }, [this, &from] { send_filler(from); },
                                [this](std::error_code) { --endless_connections; }});
            from.write(answer.substr(endless.size()));
            send_filler(from);
        } else if (!answer.empty()) {
            last_answered_ = &from;
            last_answer_ = answer;
            from.write(answer);
        }
    }
    void send_filler(stream& to) {
        const std::string filler(std::size_t{256} << 10U, 'x');
        while (to.is_open() && to.queued_bytes() == 0) {
            to.write(filler);
            filler_bytes += filler.size();
        }
    }

    std::vector<std::unique_ptr<stream>> connections_;
    std::vector<stream*> received_on_;  ///< Connection of each request.
    stream* last_answered_ = nullptr;
    std::string last_answer_;
    listener listener_;
};

/// A router with one target and one caller, over real connections.
class path_fixture {
public:
    explicit path_fixture(request_kind kind, milliseconds timeout = milliseconds(1000))
        : log(open("/dev/null", O_WRONLY | O_CLOEXEC)),
          target(context),
          core(context, {}, log),
          caller_listener(
              context, {boost::asio::ip::address_v4::loopback(), 0},
              [this](std::unique_ptr<stream> connection) {
                  sessions.push_back(std::make_unique<caller_session>(
                      core, std::move(connection), [this](caller_session*) { ++closed_sessions; }));
              }),
          caller(context) {
        core.platform.headers = {"Request-Id", "Deadline", "Signature", "Expected", "Target",
                                 "Load",       "Not-Run",  "Cold",      "Key",      "Retry-After"};
        core.platform.decode_load = [](std::string_view) { return std::optional<target_load>(); };
        core.defer = [this](std::function<void()> step) {
            boost::asio::post(context, std::move(step));
        };
        core.wake_waiting = [] {};
        core.deadlines_changed = [] {};
        service orders;
        orders.name = "orders";
        core.state.config.version = 1;
        core.state.config.services.emplace("orders", orders);
        route added_route;
        added_route.name = "orders";
        added_route.host = "desk.example";
        added_route.prefix = "/";
        added_route.kind = kind;
        added_route.timeout = timeout;
        added_route.objective = milliseconds(500);
        added_route.max_attempts = 2;
        added_route.services.push_back({"orders", 1});
        core.state.config.routes.push_back(added_route);
        core.state.routes = route_index(core.state.config);
        target_entry entry;
        entry.id = "t1";
        entry.service = "orders";
        entry.address = target.address();
        entry.slots = 4;
        core.state.registry.targets.emplace("t1", entry);
        core.state.bounds.extra_retries_per_window = 100;
        core.settings.bounds = core.state.bounds;
        update_targets(core.state, boot_clock::now());
        caller.connect(caller_listener.address());
        caller.non_blocking(true);
    }

    void send(const std::string& text) { boost::asio::write(caller, boost::asio::buffer(text)); }
    void get(const std::string& id) {
        send("GET /7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id + "\r\n\r\n");
    }
    void post(const std::string& id) {
        send("POST /7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id +
             "\r\nContent-Length: 4\r\n\r\nbody");
    }
    /// Runs until the caller has received a text that contains `end`, for about 2 s at most.
    /// Appends "<closed>" if the connection ends, and "<reset>" if it is reset.
    std::string receive(const std::string& end) {
        std::string text;
        for (int round = 0; round < 400 && text.find(end) == std::string::npos; ++round) {
            context.run_for(milliseconds(5));
            context.restart();
            std::array<char, 65536> chunk{};
            boost::system::error_code error;
            text.append(chunk.data(), caller.read_some(boost::asio::buffer(chunk), error));
            if (error == boost::asio::error::eof) {
                return text + "<closed>";
            }
            if (error == boost::asio::error::connection_reset) {
                return text + "<reset>";
            }
        }
        return text;
    }
    /// Error of the caller's connection, such as a reset that arrived after its orderly end.
    [[nodiscard]] int pending_error() {
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(caller.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
        return error;
    }
    /// Runs long enough for requests and answers to pass between sockets of one host.
    void settle() {
        context.run_for(milliseconds(30));
        context.restart();
    }
    /// Makes the service keyed, with the target as the owner of all keys.
    void make_target_owner() {
        core.state.config.services["orders"].keyed = true;
        assign(core.state.keys["orders"], {0, key_count - 1, "t1", 1, false, 1, 0});
    }
    /// Replaces the address of the target by one on which nothing listens.
    void make_target_unreachable() {
        core.state.targets["t1"]->entry.address = "127.0.0.1:1";
        core.state.registry.targets["t1"].address = "127.0.0.1:1";
    }
    void expire_all() {
        while (!core.deadlines.empty()) {
            auto* request = core.deadlines.begin()->second;
            core.deadlines.erase(core.deadlines.begin());
            request->expire();
        }
    }

    boost::asio::io_context context;
    mimosavalve::observe::decision_log log;
    scripted_target target;
    router_core core;
    std::vector<std::unique_ptr<caller_session>> sessions;
    int closed_sessions = 0;
    listener caller_listener;
    tcp::socket caller;
};

// More than the kernel buffers of a connection hold.
inline constexpr std::size_t max_filler_bytes = std::size_t{24} << 20U;
inline const std::string chunked_answer =
    "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n";
inline const std::string good_answer =
    "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nContent-Length: 5\r\n\r\nhello";
inline const std::string full_refusal =
    "HTTP/1.1 503 Full\r\nRequest-Id: $ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

}  // namespace mimosavalve::gateway::testing
