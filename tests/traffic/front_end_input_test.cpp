#include <doctest/doctest.h>

#include <random>

#include "path_fixture.hpp"

using namespace mimosavalve;
using namespace mimosavalve::test;

namespace {

target_reply answer_ok(const fake_target::request& /*request*/) {
    return {};
}

constexpr std::uint32_t seed = 20261204;

/// Returns `text` with up to 6 random changes: bytes replaced, removed or repeated, or the end cut
/// off.
std::string corrupted(std::string text, std::mt19937& random) {
    const auto changes = 1 + random() % 6;
    for (std::size_t change = 0; change < changes && !text.empty(); ++change) {
        const auto at = random() % text.size();
        switch (random() % 4) {
            case 0:
                text[at] = static_cast<char>(random() % 256);
                break;
            case 1:
                text.erase(at, 1 + random() % 8);
                break;
            case 2:
                text.insert(at, text.substr(at, random() % 32));
                break;
            default:
                text.resize(at);
        }
    }
    return text;
}

}  // namespace

TEST_CASE(
    "malformed headers are refused as not-run with a 4xx status and a reason [http_front_end]") {
    path_fixture path(answer_ok);
    const auto check = [&](const std::string& text, unsigned status, const std::string& reason) {
        caller client(path.router->port());
        client.try_send(text);
        const auto answer = client.receive();
        CAPTURE(text.substr(0, 60));
        CHECK(answer.result_int() == status);
        CHECK(field(answer, "Mimosavalve-Reason") == reason);
        CHECK(field(answer, "Mimosavalve-Verdict") == "not-run");
        CHECK(client.is_ended());
    };
    check("nonsense\r\n\r\n", 400, "bad-request");
    check("GET /status/ward-4/a HTTP/1.1\r\nbad header\r\n\r\n", 400, "bad-request");
    check("GET /status/ward-4/a HTTP/1.0\r\n\r\n", 400, "bad-request");
    check("POST /status/ward-4/a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400,
          "bad-request");
    check(
        "POST /status/ward-4/a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n"
        "\r\n0\r\n\r\n",
        400, "bad-request");
    check("POST /status/ward-4/a HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
          400, "bad-request");
    check("POST /status/ward-4/a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n", 400,
          "bad-request");
    check("GET /status/ward-4/a HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n", 431,
          "header-too-large");
    check("GET /" + std::string(40000, 'x'), 431, "header-too-large");
}

TEST_CASE("a header that is incomplete after 5 s is answered with 408 [http_front_end]") {
    path_fixture path(answer_ok);
    caller client(path.router->port());
    client.send("GET /status/ward-4/a HTTP/1.1\r\nHost:");
    const auto answer = client.receive();
    CHECK(answer.result_int() == 408);
    CHECK(field(answer, "Mimosavalve-Reason") == "header-timeout");
}

// A router that crashes on a caller's input becomes unavailable to all other callers.
TEST_CASE("randomly corrupted input never crashes the router [http_front_end]") {
    path_fixture path(answer_ok);
    std::mt19937 random(seed);
    const std::vector<std::string> valid{
        get("/status/ward-4/a", "Request-Id: r\r\nRequest-Timeout-Ms: 50\r\n"),
        post("/status/ward-4/a", "body", "Request-Timeout-Ms: 50\r\n"),
        "POST /status/ward-4/a HTTP/1.1\r\nRequest-Timeout-Ms: 50\r\nTransfer-Encoding: "
        "chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"};
    for (int round = 0; round < 1500; ++round) {
        caller client(path.router->port());
        client.try_send(corrupted(valid[random() % valid.size()], random));
        client.close();
    }
    CHECK(path.ask(get("/status/ward-4/a")).result_int() == 200);
    CHECK(eventually([&] { return path.router->open_connections() == 0; }));
}

// Targets run customers' code, so a malformed answer must affect only its own request.
TEST_CASE(
    "randomly corrupted answers never pass as complete nor crash the router "
    "[http_front_end]") {
    std::mt19937 random(seed);
    path_fixture path([&](const fake_target::request& request) {
        target_reply reply;
        const std::string head =
            "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(request["Request-Id"]) + "\r\n";
        const auto text = random() % 2 == 0
                              ? head + "Content-Length: 5\r\n\r\nwhole"
                              : head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
        reply.raw = corrupted(text, random) + " ";
        reply.close_after = true;
        return reply;
    });
    for (int round = 0; round < 500; ++round) {
        caller client(path.router->port());
        client.send(get("/status/ward-4/a", "Request-Timeout-Ms: 1000\r\n"));
        http_answer answer;
        if (!client.try_receive(answer) && answer.result_int() != 200) {
            CHECK_FALSE(field(answer, "Mimosavalve-Verdict").empty());
        }
    }
    CHECK(eventually([&] { return path.router->open_connections() == 0; }));
}
