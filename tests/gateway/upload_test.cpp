#include <doctest/doctest.h>

#include "path_fixture.hpp"

using namespace mimosavalve::gateway;
using namespace mimosavalve::gateway::testing;
using std::chrono::milliseconds;

namespace {

/// A target without room, and an upload whose body the router stops reading while it waits.
struct waiting_upload : path_fixture {
    waiting_upload() : path_fixture(request_kind::upload, milliseconds(5000)) {
        core.state.config.routes[0].objective = milliseconds(4000);
        core.state.targets.at("t1")->avoid_until = boot_clock::now() + std::chrono::hours(1);
        send("POST /7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r1\r\nContent-Length: " +
             std::to_string(body_bytes) + "\r\n\r\n");
        std::size_t sent = 0;
        for (int round = 0; round < 100 && sent < body_bytes; ++round) {
            const std::string part(std::min<std::size_t>(body_bytes - sent, 32768), 'x');
            boost::system::error_code error;
            sent += caller.write_some(boost::asio::buffer(part), error);
            context.run_for(milliseconds(1));
            context.restart();
        }
        REQUIRE(sent == body_bytes);
        settle();
        REQUIRE(core.waiting.size() == 1);
    }

    static constexpr std::size_t body_bytes = 330000;
};

}  // namespace

// The target's connection took all that was buffered at once, and nothing resumed the reading: the
// upload ended with 504.
TEST_CASE("a long upload that has waited is read to its end [upload]") {
    waiting_upload path;
    path.core.state.targets.at("t1")->avoid_until = {};
    dispatch_waiting(path.core);
    for (int round = 0; round < 50; ++round) {
        path.settle();
        if (!path.target.received.empty() && path.target.received[0].size() > path.body_bytes) {
            break;
        }
    }
    REQUIRE(path.target.received.size() == 1);
    CHECK(path.target.received[0].size() > path.body_bytes);
    path.target.answer(0, good_answer);
    CHECK(path.receive("hello").find("200 OK") != std::string::npos);
}

// The unread bytes of the body hid the end of the caller's connection.
TEST_CASE("a caller that leaves while its upload is not read is detected [upload]") {
    waiting_upload path;
    path.caller.close();
    path.settle();
    for (const auto& session : path.sessions) {
        session->check_time(std::chrono::steady_clock::now());
    }
    CHECK(path.core.waiting.empty());
    CHECK(path.closed_sessions == 1);
}
