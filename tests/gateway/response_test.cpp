#include <doctest/doctest.h>

#include <initializer_list>
#include <string>
#include <string_view>

#include "path_fixture.hpp"

using namespace mimosavalve::gateway;
using namespace mimosavalve::gateway::testing;
using std::chrono::milliseconds;

namespace {

std::string joined(std::initializer_list<std::string_view> parts) {
    std::string out;
    for (const auto part : parts) {
        out.append(part);
    }
    return out;
}

const std::string unframed_answer =
    "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nConnection: close\r\n\r\n";

std::string upload_head(std::size_t length) {
    return "POST /7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r1\r\nContent-Length: " +
           std::to_string(length) + "\r\n\r\n";
}

}  // namespace

// A part of the answer was passed on as a whole one: the end of a connection ended the answer,
// although the target had not taken the whole request.
TEST_CASE("an answer without a length to an unfinished upload is not complete [response]") {
    for (const std::string_view end : {cut, reset}) {
        for (const std::size_t rest : {std::size_t{1}, std::size_t{200000}}) {
            CAPTURE(end);
            CAPTURE(rest);
            path_fixture path(request_kind::non_idempotent);
            path.target.script = {std::string(end) + unframed_answer + "part"};
            path.send(upload_head(1000 + rest) + std::string(1000, 'x'));
            const auto answer = path.receive("\r\n\r\n");
            CHECK(answer.find("502") != std::string::npos);
            CHECK(answer.find("may-have-run") != std::string::npos);
            CHECK(answer.find("part") == std::string::npos);
        }
    }
}

TEST_CASE("an answer without a length to a whole upload is complete [response]") {
    path_fixture path(request_kind::non_idempotent);
    path.target.script = {std::string(cut) + unframed_answer + "whole"};
    path.send(upload_head(1000) + std::string(1000, 'x'));
    CHECK(path.receive("whole").find("200 OK") != std::string::npos);
}

// The refusal says that the request was not run, whatever becomes of its body.
TEST_CASE("a refusal without a length during an upload stays a refusal [response]") {
    path_fixture path(request_kind::non_idempotent);
    path.target.script = {std::string(cut) +
                          "HTTP/1.1 503 Full\r\nRequest-Id: $ID\r\nNot-Run: 1\r\n\r\nfull"};
    path.send(upload_head(2000) + std::string(1000, 'x'));
    CHECK(path.receive("\r\n\r\n").find("not-run") != std::string::npos);
}

// The status 000 was passed on to the caller.
TEST_CASE("an answer with a status outside 100 to 599 is no answer [response]") {
    for (const std::string status : {"000", "099", "600", "999"}) {
        CAPTURE(status);
        path_fixture path(request_kind::non_idempotent);
        path.target.script = {
            "HTTP/1.1 " + status +
            " Odd\r\nRequest-Id: $ID\r\nSignature: s\r\nContent-Length: 3\r\n\r\nodd"};
        path.post("r1");
        const auto answer = path.receive("\r\n\r\n");
        CHECK(answer.find("HTTP/1.1 502") != std::string::npos);
        CHECK(answer.find("odd") == std::string::npos);
    }
}

// The first interim response was taken for the whole answer, and its connection was closed.
TEST_CASE("interim responses are skipped [response]") {
    for (const std::string interim :
         {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nRequest-Id: r1\r\n\r\n"}) {
        CAPTURE(interim);
        path_fixture path(request_kind::non_idempotent);
        path.target.script = {joined({interim, interim, good_answer}), good_answer};
        path.post("r1");
        const auto answer = path.receive("hello");
        CHECK(answer.starts_with("HTTP/1.1 200 OK"));
        CHECK(answer.find("HTTP/1.1 10") == std::string::npos);
        path.post("r2");
        CHECK(path.receive("hello").find("Request-Id: r2") != std::string::npos);
        CHECK(path.target.connections == 1);
    }
}

TEST_CASE("an interim response does not count as the answer to HEAD [response]") {
    path_fixture path(request_kind::non_idempotent);
    path.target.script = {
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\n"
        "Content-Length: 5\r\n\r\n"};
    path.send("HEAD /7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r1\r\n\r\n");
    CHECK(path.receive("\r\n\r\n").find("200 OK") != std::string::npos);
}

// A connection that ends after an interim response has not answered.
TEST_CASE("an interim response alone is no answer [response]") {
    path_fixture path(request_kind::non_idempotent);
    path.target.script = {std::string(cut) + "HTTP/1.1 100 Continue\r\n\r\n"};
    path.post("r1");
    CHECK(path.receive("\r\n\r\n").find("HTTP/1.1 502") != std::string::npos);
}

namespace {

// Longer than the answers that are kept until they are complete.
const std::string long_body(std::size_t{300000}, 'b');

/// Body of an answer in chunks; empty if its last chunk is missing.
std::string body_of_chunks(const std::string& answer) {
    const auto body = answer.find("\r\n\r\n");
    message_events events;
    std::string read;
    events.body = [&](std::string_view part) { read.append(part); };
    message_parser parser(message_kind::answer, {}, events);
    parser.feed(answer);
    return body != std::string::npos && parser.is_done() ? read : "";
}

}  // namespace

// The end of the connection ended such an answer, also after the router was killed.
TEST_CASE("a long answer without a length reaches the caller in chunks [response]") {
    const std::string size = "493e0\r\n";
    for (const std::string& from_target :
         {joined({cut, unframed_answer, long_body}),
          joined({chunked_answer, size, long_body, "\r\n0\r\n\r\n"})}) {
        path_fixture path(request_kind::non_idempotent);
        path.target.script = {from_target, good_answer};
        path.post("r1");
        const auto answer = path.receive("\r\n0\r\n\r\n");
        CHECK(answer.find("Transfer-Encoding: chunked") != std::string::npos);
        CHECK(answer.find("Connection: close") == std::string::npos);
        CHECK(body_of_chunks(answer) == long_body);
        // The connection carries the next request.
        path.post("r2");
        CHECK(path.receive("hello").find("Request-Id: r2") != std::string::npos);
    }
}

TEST_CASE("a long answer in chunks that breaks off does not look complete [response]") {
    path_fixture path(request_kind::non_idempotent);
    path.target.script = {std::string(cut) + chunked_answer + "493e0\r\n" + long_body};
    path.post("r1");
    const auto answer = path.receive("\r\n0\r\n\r\n");
    CHECK(answer.find("200 OK") != std::string::npos);
    CHECK(body_of_chunks(answer).empty());
    CHECK(answer.find("\r\n0\r\n\r\n") == std::string::npos);
}

TEST_CASE("a caller with HTTP/1.0 gets an answer without a length whole [response]") {
    path_fixture path(request_kind::non_idempotent);
    path.target.script = {std::string(cut) + unframed_answer + long_body};
    path.send("GET /7 HTTP/1.0\r\nHost: desk.example\r\nRequest-Id: r1\r\n\r\n");
    const auto answer = path.receive("<closed>");
    CHECK(answer.find("Content-Length: 300000") != std::string::npos);
    CHECK(answer.find("chunked") == std::string::npos);
    CHECK(answer.ends_with(long_body + "<closed>"));
}

TEST_CASE("an answer too long for a caller with HTTP/1.0 is no success [response]") {
    path_fixture path(request_kind::non_idempotent);
    path.target.script = {std::string(endless) + unframed_answer};
    path.send("GET /7 HTTP/1.0\r\nHost: desk.example\r\nRequest-Id: r1\r\n\r\n");
    const auto answer = path.receive("<closed>");
    CHECK(answer.find("200 OK") == std::string::npos);
    CHECK(answer.find("502") != std::string::npos);
}

// The end of the same read called a handler that the request had given up.
TEST_CASE("a whole long answer without a signature ends only its request [response]") {
    path_fixture path(request_kind::non_idempotent);
    const std::size_t length = (128U << 10U) + 1;
    path.target.script = {"HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nContent-Length: " +
                          std::to_string(length) + "\r\n\r\n" + std::string(length, 'b')};
    path.post("r1");
    CHECK(path.receive("\r\n\r\n").find("HTTP/1.1 502") != std::string::npos);
}

// After three targets had crashed, a request was refused although the others were free.
TEST_CASE("a request passes over targets that refuse connections [response]") {
    path_fixture path(request_kind::non_idempotent);
    auto& state = path.core.state;
    for (const auto* id : {"t2", "t3", "t4", "t5"}) {
        auto crashed = state.registry.targets.at("t1");
        crashed.id = id;
        crashed.address = "127.0.0.1:1";
        state.registry.targets.emplace(id, crashed);
    }
    update_targets(state, boot_clock::now());
    for (const auto& [id, target] : state.targets) {
        constexpr double slow_ms = 500;
        constexpr double fast_ms = 10;
        set_work_ms(state, *target, id == "t1" ? slow_ms : fast_ms);
    }
    path.target.script = {good_answer};
    path.post("r1");
    CHECK(path.receive("hello").find("200 OK") != std::string::npos);
}

// The only quota of a router with few requests was at a target that had crashed, and its requests
// waited until their time-out.
TEST_CASE("a request whose target with a quota has crashed is sent to another [response]") {
    path_fixture path(request_kind::non_idempotent);
    auto& state = path.core.state;
    auto crashed = state.registry.targets.at("t1");
    crashed.id = "t2";
    crashed.address = "127.0.0.1:1";
    state.registry.targets.emplace("t2", crashed);
    update_targets(state, boot_clock::now());
    state.concurrency_quotas = {{"t2", 1}};
    path.target.script = {good_answer};
    path.post("r1");
    CHECK(path.receive("hello").find("200 OK") != std::string::npos);
}
