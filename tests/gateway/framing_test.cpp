#include <doctest/doctest.h>

#include "path_fixture.hpp"

using namespace mimosavalve::gateway;
using namespace mimosavalve::gateway::testing;
using std::chrono::milliseconds;

namespace {

struct odd_framing {
    std::string fields;
    unsigned status;  ///< Of the answer to a request with these fields.
};

const std::string both_lengths = "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n";

const std::vector<odd_framing> odd_framings = {
    {"Transfer-Encoding: identity\r\n", 400},
    {"Transfer-Encoding: gzip\r\n", 400},
    {"Transfer-Encoding: chunked, gzip\r\n", 400},
    {"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", 400},
    {"Transfer-Encoding: chunked, chunked\r\n", 400},
    {"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", 400},
    {"Transfer-Encoding: chunked;q=1\r\n", 400},
    {"Transfer-Encoding: ,chunked\r\n", 400},
    {"Transfer-Encoding: \"chunked\"\r\n", 400},
    {"Transfer-Encoding: \r\n", 400},
    {"Transfer-Encoding : chunked\r\n", 400},
    {"Transfer-Encoding: xchunked\r\n", 501},
    {"Transfer-Encoding: chunked, other\r\n", 501},
    {"Transfer-Encoding: gzip, chunked\r\n", 501},
    {"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", 501},
    {both_lengths, 400},
    {"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", 400},
    {"Content-Length: 5\r\nContent-Length: 6\r\n", 400},
    {"Content-Length: 5, 6\r\n", 400},
    {"Content-Length: 5, 5\r\n", 400},
    {"Content-Length: +5\r\n", 400},
    {"Content-Length: 0x5\r\n", 400},
    {"Content-Length: -5\r\n", 400},
    {"Content-Length: 5 5\r\n", 400},
    {"Content-Length: \r\n", 400},
    {"Content-Length: 99999999999999999999\r\n", 400},
};

const std::string inner_request =
    "POST /inner HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: inner\r\nContent-Length: "
    "0\r\n\r\n";

}  // namespace

// The body of such a request was run as a request of its own (request smuggling).
TEST_CASE("a request whose length cannot be determined is not run [framing]") {
    for (const auto& given : odd_framings) {
        CAPTURE(given.fields);
        path_fixture path(request_kind::non_idempotent);
        path.target.script = {good_answer, good_answer};
        path.send("POST /7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r1\r\n" + given.fields +
                  "\r\n" + inner_request);
        const auto answer = path.receive("<closed>");
        CHECK(answer.starts_with("HTTP/1.1 " + std::to_string(given.status)));
        CHECK(answer.find("<closed>") != std::string::npos);
        CHECK(path.target.received.empty());
    }
}

TEST_CASE("a chunked request of HTTP/1.0 is not run [framing]") {
    path_fixture path(request_kind::non_idempotent);
    path.target.script = {good_answer, good_answer};
    path.send(
        "POST /7 HTTP/1.0\r\nHost: desk.example\r\nRequest-Id: r1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
        inner_request);
    CHECK(path.receive("<closed>").starts_with("HTTP/1.1 400"));
    CHECK(path.target.received.empty());
}

// Requests before the odd one on its connection are answered as usual.
TEST_CASE("an odd request ends only what follows it on its connection [framing]") {
    path_fixture path(request_kind::idempotent);
    path.target.script = {good_answer, good_answer};
    path.send(
        "GET /7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r1\r\n\r\n"
        "POST /7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r2\r\n" +
        both_lengths + "\r\n" + inner_request);
    const auto answer = path.receive("<closed>");
    CHECK(answer.find("hello") < answer.find("HTTP/1.1 400"));
    CHECK(answer.find("HTTP/1.1 400") != std::string::npos);
    CHECK(path.target.received.size() == 1);
}

TEST_CASE("an answer whose length cannot be determined is no answer [framing]") {
    for (const auto& given : odd_framings) {
        CAPTURE(given.fields);
        path_fixture path(request_kind::non_idempotent);
        path.target.script = {std::string(cut) +
                              "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\n" +
                              given.fields + "\r\nhello"};
        path.post("r1");
        const auto answer = path.receive("\r\n\r\n");
        CHECK(answer.starts_with("HTTP/1.1 502"));
        CHECK(answer.find("hello") == std::string::npos);
    }
}

TEST_CASE("usual spellings of a length are accepted [framing]") {
    for (const std::string fields :
         {"Transfer-Encoding: Chunked\r\n", "transfer-encoding:chunked\r\n",
          "TRANSFER-ENCODING: CHUNKED \r\n"}) {
        CAPTURE(fields);
        path_fixture path(request_kind::non_idempotent);
        path.target.script = {good_answer};
        path.send("POST /7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r1\r\n" + fields +
                  "\r\n0\r\n\r\n");
        CHECK(path.receive("hello").find("200 OK") != std::string::npos);
    }
}
