// Ends of callers' connections, and planned stops of the router.
#include "path_fixture.hpp"

#include <doctest/doctest.h>

using namespace mimosavalve::gateway;
using namespace mimosavalve::gateway::testing;
using std::chrono::milliseconds;

// Bytes that arrive after the request, unread by the router, turn a close into a reset, which may
// destroy an answer that the caller has not received yet.
TEST_CASE("a close after the answer does not reset a caller that still sends [path]") {
    for (const bool is_refused : {false, true}) {
        path_fixture path(request_kind::non_idempotent);
        path.target.script = {good_answer};
        path.core.stopping = !is_refused;
        path.post("r1");
        if (is_refused) {
            path.send("no request\r\n\r\n");
        }
        path.send(std::string(std::size_t{128} << 10U, 'x'));
        path.context.run_for(milliseconds(100));
        path.context.restart();
        const auto answer = path.receive("<");
        CHECK(answer.find(is_refused ? "400 Bad Request" : "hello") != std::string::npos);
        CHECK(answer.ends_with("<closed>"));
        CHECK(path.pending_error() == 0);
        path.caller.close();
        path.settle();
        CHECK(path.closed_sessions == 1);
    }
}

TEST_CASE("a request that is unread when idle connections are closed gets an answer [path]") {
    path_fixture path(request_kind::non_idempotent);
    path.target.script = {good_answer, good_answer};
    path.post("r1");
    CHECK(path.receive("hello").find("200 OK") != std::string::npos);
    path.core.stopping = true;
    path.post("r2");
    path.sessions.front()->close_if_idle();
    CHECK(path.receive("hello").find("200 OK") != std::string::npos);
    CHECK(path.receive("<") == "<closed>");
}

TEST_CASE("a stop does not close a new connection before its first request arrives [path]") {
    path_fixture path(request_kind::non_idempotent);
    path.settle();
    REQUIRE(path.sessions.size() == 1);
    path.core.stopping = true;
    path.core.answers_until = std::chrono::steady_clock::now();
    path.sessions.front()->close_if_idle();
    path.post("r1");
    CHECK(path.receive("\r\n\r\n").find("HTTP/1.1 503") == 0);
    path_fixture silent(request_kind::non_idempotent);
    silent.context.run_for(milliseconds(550));
    silent.context.restart();
    silent.sessions.front()->close_if_idle();
    CHECK(silent.closed_sessions == 1);
}

TEST_CASE("a caller that keeps its connection open after the last answer is closed [path]") {
    path_fixture path(request_kind::non_idempotent);
    path.target.script = {good_answer};
    path.core.stopping = true;
    path.post("r1");
    CHECK(path.receive("<").ends_with("<closed>"));
    path.sessions.front()->check_time(std::chrono::steady_clock::now() + std::chrono::seconds(2));
    CHECK(path.closed_sessions == 1);
}

TEST_CASE("a stopping router sends a request only if its answer is expected in time [path]") {
    struct situation {
        milliseconds time_left;
        double known_answer_ms;  // 0: not known.
        bool is_sent;
        bool is_cold = false;
    };
    // The request lasts at most 1 s; its objective is 500 ms.
    for (const auto& given :
         {situation{milliseconds(1500), 0, true}, situation{milliseconds(900), 0, false},
          situation{milliseconds(900), 50, true}, situation{milliseconds(900), 50, false, true},
          situation{milliseconds(1500), 50, true, true}, situation{milliseconds(900), 200, false},
          situation{milliseconds(300), 5, false}, situation{milliseconds(-50), 0, false}}) {
        CAPTURE(given.time_left.count());
        CAPTURE(given.known_answer_ms);
        CAPTURE(given.is_cold);
        path_fixture path(request_kind::non_idempotent);
        path.target.script = {good_answer};
        path.core.state.targets["t1"]->answer_ms = given.known_answer_ms;
        if (given.is_cold) {
            path.core.state.targets["t1"]->cold_until = boot_clock::now() + std::chrono::seconds(9);
        }
        path.core.stopping = true;
        path.core.answers_until = std::chrono::steady_clock::now() + given.time_left;
        path.post("r1");
        const auto answer = path.receive("<closed>");
        CHECK(answer.find("Connection: close") != std::string::npos);
        CHECK(answer.starts_with(given.is_sent ? "HTTP/1.1 200" : "HTTP/1.1 503"));
        CHECK((answer.find("not-run") != std::string::npos) == !given.is_sent);
        CHECK(path.target.received.size() == (given.is_sent ? 1 : 0));
    }
}

TEST_CASE("a request that comes late in a planned stop is not sent on an estimate [path]") {
    path_fixture path(request_kind::non_idempotent, milliseconds(5000));
    path.core.state.targets["t1"]->answer_ms = 1;
    path.core.stopping = true;
    const auto now = std::chrono::steady_clock::now();
    path.core.answers_until = now + milliseconds(1500);
    path.core.estimates_until = now;
    path.post("r1");
    const auto answer = path.receive("<closed>");
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("not-run") != std::string::npos);
    CHECK(path.target.received.empty());
}

TEST_CASE("a request that waits in a stopping router is refused as not run in time [path]") {
    path_fixture path(request_kind::non_idempotent);
    path.make_target_owner();
    path.target.script = {
        "HTTP/1.1 421 Misdirected\r\nRequest-Id: $ID\r\nNot-Run: 1\r\nContent-Length: "
        "0\r\n\r\n"};
    path.send(
        "POST /7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r1\r\nKey: 7\r\n"
        "Content-Length: 0\r\n\r\n");
    path.settle();
    REQUIRE(path.core.waiting.size() == 1);
    path.core.state.targets["t1"]->answer_ms = 50;
    path.core.stopping = true;
    path.core.answers_until = std::chrono::steady_clock::now() + milliseconds(300);
    dispatch_waiting(path.core);
    const auto answer = path.receive("<closed>");
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("not-run") != std::string::npos);
    CHECK(path.target.received.size() == 1);
}

TEST_CASE("a request that outlasts a stopping router gets an answer that promises nothing [path]") {
    path_fixture path(request_kind::non_idempotent);
    path.target.script = {""};
    path.post("r1");
    path.settle();
    path.core.stopping = true;
    path.sessions.front()->end_with_process();
    const auto answer = path.receive("<closed>");
    CHECK(answer.starts_with("HTTP/1.1 502"));
    CHECK(answer.find("may-have-run") != std::string::npos);
    CHECK(answer.ends_with("<closed>"));
}

TEST_CASE("a long answer that outlasts a stopping router does not look complete [path]") {
    path_fixture path(request_kind::non_idempotent);
    path.target.script = {chunked_answer + "40000\r\n" + std::string(std::size_t{256} << 10U, 'y') +
                          "\r\n"};
    path.post("r1");
    const auto start = path.receive("yyy");
    CHECK(start.starts_with("HTTP/1.1 200"));
    path.settle();
    path.core.stopping = true;
    path.sessions.front()->end_with_process();
    CHECK(path.receive("<").ends_with("<reset>"));
}

TEST_CASE("a request that arrives too slowly for a stopping router is refused as not run [path]") {
    path_fixture path(request_kind::upload);
    path.core.announced_crashes.quarantined = {1};  // So that the body is awaited.
    path.send(
        "POST /7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r1\r\n"
        "Content-Length: 4\r\n\r\nbo");
    path.settle();
    path.core.stopping = true;
    path.sessions.front()->end_with_process();
    const auto answer = path.receive("<closed>");
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("not-run") != std::string::npos);
    CHECK(answer.ends_with("<closed>"));
    CHECK(path.target.received.empty());
}

TEST_CASE("an answer to HEAD that follows another answer is not awaited longer [path]") {
    path_fixture path(request_kind::idempotent);
    path.target.script = {
        "HTTP/1.1 503 Full\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n"
        "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nContent-Length: 5\r\n\r\n"};
    path.send("HEAD /7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r1\r\n\r\n");
    const auto answer = path.receive("\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.find("Content-Length: 5") != std::string::npos);
}

// After a suspension of the host, the idle check may run before the read of what has arrived.
TEST_CASE("a request that arrives before the idle check runs late gets an answer [path]") {
    path_fixture path(request_kind::non_idempotent);
    path.target.script = {good_answer, good_answer};
    path.post("r1");
    CHECK(path.receive("hello").find("200 OK") != std::string::npos);
    path.post("r2");
    path.sessions.front()->check_time(std::chrono::steady_clock::now() + std::chrono::hours(1));
    CHECK(path.receive("hello").find("200 OK") != std::string::npos);
}
