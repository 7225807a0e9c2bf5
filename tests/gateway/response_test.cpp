#include <doctest/doctest.h>

#include "path_fixture.hpp"

using namespace mimosavalve::gateway;
using namespace mimosavalve::gateway::testing;
using std::chrono::milliseconds;

namespace {

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
        path.target.script = {interim + interim + good_answer, good_answer};
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

// The end of the same read called a handler that the request had given up.
TEST_CASE("a whole long answer without a signature ends only its request [response]") {
    path_fixture path(request_kind::non_idempotent);
    const std::size_t length = (128U << 10U) + 1;
    path.target.script = {"HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nContent-Length: " +
                          std::to_string(length) + "\r\n\r\n" + std::string(length, 'b')};
    path.post("r1");
    CHECK(path.receive("\r\n\r\n").find("HTTP/1.1 502") != std::string::npos);
}
