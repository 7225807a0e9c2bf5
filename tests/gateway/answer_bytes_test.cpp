// Answers without end, and answers that break off or arrive late.
#include "path_fixture.hpp"

#include <doctest/doctest.h>

using namespace mimosavalve::gateway;
using namespace mimosavalve::gateway::testing;
using std::chrono::milliseconds;

TEST_CASE("a head without end is not read on [path]") {
    for (const std::string start :
         {"HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nFiller: ", "no answer "}) {
        path_fixture path(request_kind::non_idempotent);
        path.target.script = {std::string(endless) + start};
        path.post("r1");
        CHECK(path.receive("\r\n\r\n").find("502") != std::string::npos);
        path.settle();
        CHECK(path.target.endless_connections == 0);
        CHECK(path.target.filler_bytes < max_filler_bytes);
    }
}

TEST_CASE("a body without end and without the target's signature is not kept [path]") {
    for (const std::string status : {"200 OK", "500 Failed"}) {
        path_fixture path(request_kind::non_idempotent);
        path.target.script = {std::string(endless) + "HTTP/1.1 " + status +
                              "\r\nRequest-Id: $ID\r\n\r\n"};
        path.post("r1");
        CHECK(path.receive("\r\n\r\n").find("502") != std::string::npos);
        path.settle();
        CHECK(path.target.endless_connections == 0);
        CHECK(path.target.filler_bytes < max_filler_bytes);
    }
}

TEST_CASE("a chunk extension without end is not kept [path]") {
    path_fixture path(request_kind::non_idempotent);
    path.target.script = {std::string(endless) + chunked_answer + "5;extension="};
    path.post("r1");
    CHECK(path.receive("\r\n\r\n").find("502") != std::string::npos);
    path.settle();
    CHECK(path.target.endless_connections == 0);
    CHECK(path.target.filler_bytes < max_filler_bytes);
}

TEST_CASE("trailers without end are not kept [path]") {
    path_fixture path(request_kind::non_idempotent);
    path.target.script = {std::string(endless) + chunked_answer + "0\r\nTrailer: "};
    path.post("r1");
    CHECK(path.receive("\r\n\r\n").find("502") != std::string::npos);
    path.settle();
    CHECK(path.target.endless_connections == 0);
    CHECK(path.target.filler_bytes < max_filler_bytes);
}

TEST_CASE("a body without end waits for a caller that does not read, and ends in time [path]") {
    path_fixture path(request_kind::non_idempotent);
    path.target.script = {std::string(endless) +
                          "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\n\r\n"};
    path.post("r1");
    path.context.run_for(milliseconds(500));
    path.context.restart();
    CHECK(path.target.endless_connections == 1);
    CHECK(path.target.filler_bytes < max_filler_bytes);
    path.expire_all();
    path.settle();
    CHECK(path.target.endless_connections == 0);
    CHECK(path.closed_sessions == 1);
}

TEST_CASE("a long answer arrives whole at a caller that begins to read late [path]") {
    path_fixture path(request_kind::non_idempotent);
    const std::string body = std::string(std::size_t{8} << 20U, 'y') + "END";
    path.target.script = {"HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body};
    path.post("r1");
    path.context.run_for(milliseconds(200));
    path.context.restart();
    const auto answer = path.receive("yEND");
    CHECK(std::count(answer.begin(), answer.end(), 'y') == std::ptrdiff_t{8} << 20U);
}

TEST_CASE("an answer whose head is cut at any byte is not passed on [path]") {
    const std::string head =
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\nContent-Length: 12\r\n\r\n";
    for (const auto ending : {cut, reset}) {
        for (std::size_t length = 0; length <= head.size(); ++length) {
            CAPTURE(ending);
            CAPTURE(length);
            path_fixture path(request_kind::non_idempotent);
            path.target.script = {std::string(ending) + head.substr(0, length)};
            path.post("r1");
            const auto answer = path.receive("\r\n\r\n");
            CHECK(answer.starts_with("HTTP/1.1 502"));
            CHECK(answer.find("may-have-run") != std::string::npos);
        }
    }
}

TEST_CASE("an answer without its whole body is not passed on [path]") {
    const std::string start = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n";
    const std::string lf_start = "HTTP/1.1 200 OK\nRequest-Id: r1\nSignature: s\n";
    for (const auto& text :
         {std::string(cut) + start + "Transfer-Encoding: chunked\r\n\r\n",
          std::string(cut) + start + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
          std::string(cut) + start + "Content-Length: 5\r\n\r\nhell",
          std::string(reset) + start + "\r\n", std::string(reset) + start + "\r\nhell",
          std::string(cut) + lf_start + "\n", std::string(cut) + lf_start + "\r\n",
          std::string(cut) + lf_start + "Content-Length: 5\n\nhell",
          std::string(cut) + start + "\nhell"}) {
        CAPTURE(text);
        path_fixture path(request_kind::non_idempotent);
        path.target.script = {text};
        path.post("r1");
        CHECK(path.receive("\r\n\r\n").starts_with("HTTP/1.1 502"));
    }
}

TEST_CASE("a long answer of unknown length that breaks off does not look complete [path]") {
    for (const bool is_late : {false, true}) {
        path_fixture path(request_kind::non_idempotent);
        const std::string part(std::size_t{256} << 10U, 'y');
        std::string text(is_late ? "" : cut);
        text.append(chunked_answer).append("40000\r\n").append(part).append("\r\n");
        path.target.script = {text};
        path.post("r1");
        const auto start = path.receive("yyy");
        CHECK(start.starts_with("HTTP/1.1 200"));
        CHECK(start.find("Content-Length") == std::string::npos);
        if (is_late) {
            path.settle();
            path.expire_all();
        }
        CHECK((start + path.receive("<")).ends_with("<reset>"));
        CHECK(path.closed_sessions == 1);
    }
}
