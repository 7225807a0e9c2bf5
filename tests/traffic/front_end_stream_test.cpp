#include <doctest/doctest.h>

#include <thread>

#include "path_fixture.hpp"

using namespace mimosavalve;
using namespace mimosavalve::test;

namespace {

constexpr std::size_t large_body_bytes = std::size_t{32} << 20U;

target_reply answer_ok(const fake_target::request& /*request*/) {
    return {};
}

std::string chunk(const std::string& data) {
    std::ostringstream text;
    text << std::hex << data.size() << "\r\n" << data << "\r\n";
    return text.str();
}

}  // namespace

// A router that buffered whole bodies would run out of memory with a few uploads.
TEST_CASE("a 32 MB upload passes in pieces of at most 64 KB [http_front_end]") {
    path_fixture path(answer_ok);
    const std::string body(large_body_bytes, 'u');
    SUBCASE("with a length") {
        const auto answer = path.ask(post("/upload/ward-4/rec", body));
        CHECK(answer.result_int() == 200);
    }
    SUBCASE("chunked") {
        caller client(path.router->port());
        client.send(
            "POST /upload/ward-4/rec HTTP/1.1\r\nHost: r\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (std::size_t sent = 0; sent < large_body_bytes; sent += 1U << 20U) {
            client.send(chunk(body.substr(0, 1U << 20U)));
        }
        client.send("0\r\n\r\n");
        CHECK(client.receive().result_int() == 200);
        CHECK(client.ask(get("/status/ward-4/a")).result_int() == 200);
    }
    CHECK(path.status.body_bytes == large_body_bytes);
    CHECK(path.router->largest_buffered_body() <= 65536);
}

TEST_CASE("a 32 MB answer passes in pieces of at most 64 KB [http_front_end]") {
    for (const bool chunked : {false, true}) {
        CAPTURE(chunked);
        path_fixture path([&](const fake_target::request&) {
            target_reply reply;
            reply.body = std::string(large_body_bytes, 'd');
            reply.chunked = chunked;
            return reply;
        });
        caller client(path.router->port());
        CHECK(client.ask(get("/status/ward-4/a")).body().size() == large_body_bytes);
        CHECK(client.ask(get("/status/ward-4/a")).body().size() == large_body_bytes);
        CHECK(path.router->largest_buffered_body() <= 65536);
        CHECK(path.status.connections == 1);
    }
}

TEST_CASE("pipelined requests are answered in order [http_front_end]") {
    path_fixture path([](const fake_target::request& request) {
        target_reply reply;
        reply.body = std::string(request.target()) + request.body();
        return reply;
    });
    caller client(path.router->port());
    client.send(get("/status/ward-4/1") + post("/status/ward-4/2", "+body") +
                "POST /status/ward-4/3 HTTP/1.1\r\nHost: r\r\nTransfer-Encoding: chunked\r\n\r\n" +
                chunk("+ch") + chunk("unk") + "0\r\n\r\n" + get("/none/ward-4/x") +
                get("/status/ward-4/4"));
    CHECK(client.receive().body() == "/status/ward-4/1");
    CHECK(client.receive().body() == "/status/ward-4/2+body");
    CHECK(client.receive().body() == "/status/ward-4/3+chunk");
    CHECK(client.receive().result_int() == 404);
    CHECK(client.receive().body() == "/status/ward-4/4");
}

TEST_CASE("HEAD answers keep their length but have no body [http_front_end]") {
    for (const bool chunked : {false, true}) {
        path_fixture path([&](const fake_target::request&) {
            target_reply reply;
            reply.chunked = chunked;
            return reply;
        });
        caller client(path.router->port());
        for (int round = 0; round < 2; ++round) {
            client.send("HEAD /status/ward-4/a HTTP/1.1\r\nHost: r\r\n\r\n");
            CHECK(client.receive(true).result_int() == 200);
        }
        client.send("HEAD /none/ward-4/a HTTP/1.1\r\nHost: r\r\n\r\n");
        CHECK(client.receive(true).result_int() == 404);
        CHECK(client.ask(get("/status/ward-4/a")).body() == "ok");
    }
}

// A caller that waits for status 100 must not be asked for the body of a refused request.
TEST_CASE("Expect is answered with 100 only when the request is accepted [http_front_end]") {
    path_fixture path(answer_ok);
    caller client(path.router->port());
    const std::string fields = "Content-Length: 4\r\nExpect: 100-continue\r\n\r\n";
    client.send("POST /upload/ward-4/a HTTP/1.1\r\nHost: r\r\n" + fields);
    std::thread sender([&] { client.send("body"); });
    CHECK(client.receive().result_int() == 200);
    sender.join();
    CHECK(path.status.requests().at(0).body() == "body");
    CHECK(path.status.requests().at(0)["Expect"].empty());
    client.send("POST /upload/none/a HTTP/1.1\r\nHost: r\r\n" + fields);
    const auto refused = client.receive();
    CHECK(refused.result_int() == 404);
    CHECK(field(refused, "Connection") == "close");
}

TEST_CASE("an early Not-Run answer ends an upload as not-run [http_front_end]") {
    path_fixture path([](const fake_target::request&) {
        target_reply reply;
        reply.status = 503;
        reply.extra_fields = "Not-Run: true\r\n";
        return reply;
    });
    path.status.reads_bodies = false;
    caller client(path.router->port());
    client.try_send(post("/upload/ward-4/rec", std::string(large_body_bytes, 'u')));
    http_answer answer;
    REQUIRE_FALSE(client.try_receive(answer));
    CHECK(answer.result_int() == 503);
    CHECK(field(answer, "Mimosavalve-Verdict") == "not-run");
    CHECK(path.status.requests().size() == 1);
}

TEST_CASE("a caller that disconnects during its upload cancels it at the target [http_front_end]") {
    path_fixture path(answer_ok);
    caller client(path.router->port());
    client.send("POST /upload/ward-4/rec HTTP/1.1\r\nHost: r\r\nContent-Length: 1000000\r\n\r\n" +
                std::string(200000, 'u'));
    REQUIRE(eventually([&] { return path.status.connections == 1; }));
    client.close();
    CHECK(eventually([&] { return path.status.closed_early == 1; }));
    CHECK(path.status.requests().empty());
}

// A planned stop must interrupt no request in flight.
TEST_CASE("a graceful stop lets a running upload finish [http_front_end]") {
    path_fixture path(answer_ok);
    caller uploading(path.router->port());
    caller idle(path.router->port());
    CHECK(idle.ask(get("/status/ward-4/a")).result_int() == 200);
    uploading.send("POST /upload/ward-4/rec HTTP/1.1\r\nHost: r\r\nContent-Length: 300000\r\n\r\n" +
                   std::string(100000, 'u'));
    REQUIRE(eventually([&] { return path.status.connections >= 1; }));
    path.router->begin_stop();
    const auto last = idle.ask(get("/status/ward-4/a"));
    CHECK(last.result_int() == 200);
    CHECK(field(last, "Connection") == "close");
    uploading.send(std::string(200000, 'u'));
    const auto answer = uploading.receive();
    CHECK(answer.result_int() == 200);
    CHECK(field(answer, "Connection") == "close");
    CHECK(path.status.body_bytes == 300000);
    path.router->stop(std::chrono::steady_clock::now() + std::chrono::seconds(5));
    CHECK(path.router->open_connections() == 0);
    CHECK_THROWS(caller(path.router->port()));
}

TEST_CASE("a stop ends the connections that are still open at its deadline [http_front_end]") {
    path_fixture path([](const fake_target::request&) {
        target_reply reply;
        reply.silent = true;
        return reply;
    });
    caller client(path.router->port());
    client.send(get("/upload/ward-4/a"));
    REQUIRE(eventually([&] { return path.status.requests().size() == 1; }));
    const auto started = std::chrono::steady_clock::now();
    path.router->stop(started + std::chrono::milliseconds(50));
    CHECK(std::chrono::steady_clock::now() - started < std::chrono::seconds(5));
}

TEST_CASE("many callers on several threads each get their own answers [http_front_end]") {
    path_fixture path(
        [](const fake_target::request& request) {
            target_reply reply;
            reply.body = std::string(request["Request-Id"]) + std::string(request.target());
            return reply;
        },
        {}, 3);
    std::atomic<int> wrong{0};
    std::vector<std::thread> callers;
    callers.reserve(8);
    for (int number = 0; number < 8; ++number) {
        callers.emplace_back([&, number] {
            caller client(path.router->port());
            for (int round = 0; round < 200; ++round) {
                const auto id = std::to_string(number) + "-" + std::to_string(round);
                const auto target = "/status/ward-4/" + id;
                const auto answer = client.ask(get(target, "Request-Id: " + id + "\r\n"));
                wrong += answer.body() == id + target ? 0 : 1;
            }
        });
    }
    for (auto& each : callers) {
        each.join();
    }
    CHECK(wrong == 0);
}
