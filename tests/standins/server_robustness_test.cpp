#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/status.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "adapters/loopback.hpp"
#include "mimosavalve/adapters/http_server.hpp"
#include "mimosavalve/standins/hosts_service.hpp"
#include "mimosavalve/standins/store_service.hpp"

namespace adapters = mimosavalve::adapters;
namespace standins = mimosavalve::standins;
using namespace std::chrono_literals;

namespace {

constexpr unsigned seed = 20261204;

// Both stand-ins behind real sockets.
struct fixture {
    boost::asio::io_context context;
    standins::store_service store{context, {}};
    std::shared_ptr<standins::hosts_data> hosts = std::make_shared<standins::hosts_data>();
    adapters::http_server store_server{context, {}, store.handler()};
    adapters::http_server hosts_server{context, {}, standins::make_hosts_handler(hosts)};

    fixture() {
        REQUIRE(!store_server.listen());
        REQUIRE(!hosts_server.listen());
    }

    std::vector<std::string> addresses() const {
        return {store_server.address(), hosts_server.address()};
    }

    std::string send(const std::string& address, const std::string& bytes,
                     bool end_of_input = true) {
        return loopback::send_raw(context, address, bytes, end_of_input);
    }

    // One call with "Connection: close".
    std::string call(const std::string& address, const std::string& first_line,
                     const std::string& headers = {}, const std::string& body = {}) {
        return send(address, first_line + " HTTP/1.1\r\nHost: test\r\nConnection: close\r\n" +
                                 headers + "Content-Length: " + std::to_string(body.size()) +
                                 "\r\n\r\n" + body);
    }
};

std::string random_bytes(std::mt19937& random, std::size_t size, int most) {
    std::uniform_int_distribution<int> byte(0, most);
    std::string bytes(size, '\0');
    for (auto& character : bytes) {
        character = static_cast<char>(byte(random));
    }
    return bytes;
}

}  // namespace

// A stand-in that stops at bad input would end whole test runs.
TEST_CASE("bytes that are no HTTP are answered with 400 [http_server]") {
    fixture test;
    std::mt19937 random(seed);
    for (const auto& address : test.addresses()) {
        for (std::size_t size = 1; size < 4000; size += 61) {
            const auto answer = test.send(address, random_bytes(random, size, 255) + "\r\n\r\n");
            CHECK(answer.starts_with("HTTP/1.1 400"));
        }
        CHECK(test.call(address, "GET /nothing").starts_with("HTTP/1.1 400"));
    }
    CHECK(test.call(test.hosts_server.address(), "GET /hosts").starts_with("HTTP/1.1 200"));
    CHECK(test.call(test.store_server.address(), "GET /stats").starts_with("HTTP/1.1 200"));
}

TEST_CASE("well-formed calls with bad parts are answered with a clear 400 [store_service]") {
    fixture test;
    const auto address = test.store_server.address();
    const std::vector<std::string> lines{
        "GET /v1/kv/",
        "GET /v1/kv/%zz",
        "GET /v1/kv/" + std::string(2000, 'x'),
        "POST /v1/kv/a",
        "PUT /v1/kv/a",
        "POST /v1/leases",
        "POST /v1/leases?ttl_ms=0",
        "POST /v1/leases?ttl_ms=-5",
        "POST /v1/leases?ttl_ms=99999999999999999999",
        "POST /v1/leases/x/renew",
        "DELETE /v1/leases/",
        "GET /v1/watch/a",
        "GET /v1/watch/a?revision=1&wait_ms=60001",
        "GET /v1/watch/a?revision=x&wait_ms=1",
        "POST /faults",
    };
    for (const auto& line : lines) {
        CAPTURE(line);
        const auto answer = test.call(address, line);
        CHECK(answer.starts_with("HTTP/1.1 400"));
        CHECK(answer.find("\r\n\r\n") + 4 < answer.size());
    }
    for (const auto* body : {"[]", "{\"delay_ms\":-1}", "{\"outage\":true}", "{\"lose\":1}",
                             "{\"lose_answers\":\"1\"}", "{\"delay_ms\":"}) {
        CAPTURE(body);
        CHECK(test.call(address, "POST /faults", {}, body).starts_with("HTTP/1.1 400"));
    }
}

TEST_CASE("random calls from a fixed seed never stop the stand-ins [http_server]") {
    fixture test;
    std::mt19937 random(seed);
    const std::vector<std::string> methods{"GET", "PUT", "POST", "DELETE", "HEAD", "OPTIONS"};
    const std::vector<std::string> paths{
        "/v1/kv/", "/v1/leases", "/v1/leases/", "/hosts/", "/hosts", "/stats", "/"};
    for (int number = 0; number < 400; ++number) {
        const auto line = methods[random() % methods.size()] + " " +
                          paths[random() % paths.size()] + random_bytes(random, random() % 30, 127);
        const auto body = random_bytes(random, random() % 300, 255);
        const auto address = test.addresses()[random() % 2];
        CHECK(test.call(address, line, "Expected-Revision: 0\r\n", body).starts_with("HTTP/1.1 "));
    }
    CHECK(test.call(test.store_server.address(), "GET /stats").starts_with("HTTP/1.1 200"));
}

// A call that waits for its body must not be answered before or count as a write.
TEST_CASE("a truncated write has no effect [store_service]") {
    fixture test;
    const auto answer = test.send(test.store_server.address(),
                                  "PUT /v1/kv/a HTTP/1.1\r\nExpected-Revision: 0\r\n"
                                  "Content-Length: 100\r\n\r\nshort");
    CHECK(answer.empty());
    CHECK(test.store.data().values.empty());
}

TEST_CASE("long headers are refused with 431 [http_server]") {
    fixture test;
    for (const auto& address : test.addresses()) {
        const auto answer =
            test.call(address, "GET /hosts", "X: " + std::string(17000, 'x') + "\r\n");
        CHECK(answer.starts_with("HTTP/1.1 431"));
    }
}

// Slow senders would otherwise hold all connections of a server.
TEST_CASE("a header that is not whole in its time ends the connection [http_server]") {
    boost::asio::io_context context;
    adapters::http_server server(context, {.header_time = 50ms}, [](const auto&, const auto&) {
        return adapters::make_response(boost::beast::http::status::ok);
    });
    REQUIRE(!server.listen());
    CHECK(loopback::send_raw(context, server.address(), "GET / HT").empty());
    CHECK(loopback::send_raw(context, server.address(), "").empty());
    const std::string whole = "GET / HTTP/1.1\r\nRequest-Id: 5\r\n\r\n";
    const auto answer = loopback::send_raw(context, server.address(), whole + "GET /", false);
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.find("Request-Id: 5") != std::string::npos);
    CHECK(loopback::run_until(context, [&] { return server.connections() == 0; }));
}

// A stop that cut running requests would show as lost answers in every rolling restart.
TEST_CASE("a stop finishes running requests and ends the server [http_server]") {
    boost::asio::io_context context;
    boost::asio::steady_timer gate(context, 10s);
    bool started = false;
    adapters::http_server server(context, {}, [&](const auto&, const auto& yield) {
        boost::system::error_code ignored;
        started = true;
        gate.async_wait(yield[ignored]);
        return adapters::make_response(boost::beast::http::status::ok, "finished");
    });
    REQUIRE(!server.listen());
    bool stopped = false;
    boost::asio::post(context, [&] {
        REQUIRE(loopback::run_until(context, [&] { return started; }));
        server.stop();
        gate.cancel();
        stopped = true;
    });
    const auto answer = loopback::send_raw(context, server.address(), "GET / HTTP/1.1\r\n\r\n");
    CHECK(stopped);
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(answer.ends_with("finished"));
    CHECK(loopback::run_until(context, [&] { return server.connections() == 0; }));
}

// SIGTERM must end the stand-in also while a fault holds calls back.
TEST_CASE("a stop ends delayed, hanging and watching calls [store_service]") {
    const std::vector<standins::store_faults> faults{
        {.delay = 10min}, {.outage = standins::outage_kind::hang}, {}};
    for (const auto& fault : faults) {
        fixture test;
        test.store.set_faults(fault);
        const auto watches = [&] {
            return standins::total_calls(test.store.counts(), standins::call_kind::watch);
        };
        boost::asio::post(test.context, [&] {
            REQUIRE(loopback::run_until(test.context, [&] { return watches() == 1; }));
            test.store_server.stop();
            test.store.stop();
        });
        test.call(test.store_server.address(), "GET /v1/watch/a?revision=0&wait_ms=60000");
        CHECK(watches() == 1);
        CHECK(loopback::run_until(test.context,
                                  [&] { return test.store_server.connections() == 0; }));
    }
}

TEST_CASE("an exception of a handler is answered with 500 [http_server]") {
    boost::asio::io_context context;
    adapters::http_server server(
        context, {}, [](const auto&, const auto&) -> std::optional<adapters::http_response> {
            throw std::runtime_error("broken");
        });
    REQUIRE(!server.listen());
    const auto answer =
        loopback::send_raw(context, server.address(), "GET / HTTP/1.0\r\n\r\n", true);
    CHECK(answer.starts_with("HTTP/1.1 500"));
}

TEST_CASE("calls over the limit of a second are answered with 429 [store_service]") {
    boost::asio::io_context context;
    standins::store_service store(context, {.calls_per_second = 1});
    adapters::http_server server(context, {}, store.handler());
    REQUIRE(!server.listen());
    std::string calls;
    for (int number = 0; number < 20; ++number) {
        calls += "GET /v1/kv/a HTTP/1.1\r\n\r\n";
    }
    const auto answers = loopback::send_raw(context, server.address(), calls, true);
    CHECK(answers.find("HTTP/1.1 404") != std::string::npos);
    CHECK(answers.find("HTTP/1.1 429") != std::string::npos);
}

TEST_CASE("the stats show calls per kind and second and waiting watches [store_service]") {
    fixture test;
    const auto address = test.store_server.address();
    test.call(address, "PUT /v1/kv/a", "Expected-Revision: 0\r\n", "x");
    test.call(address, "GET /v1/watch/a?revision=0&wait_ms=1000");
    const auto stats = test.call(address, "GET /stats");
    CHECK(stats.find(R"("write":1)") != std::string::npos);
    CHECK(stats.find(R"("watch":1)") != std::string::npos);
    CHECK(stats.find(R"("waiting_watches":0)") != std::string::npos);
    CHECK(stats.find(R"("keys":1)") != std::string::npos);
}

TEST_CASE("hosts are added, marked and removed by their path [hosts_service]") {
    fixture test;
    const auto address = test.hosts_server.address();
    const std::string body = R"({"id":"a/1","role":"router","address":"127.0.0.1:1"})";
    CHECK(test.call(address, "PUT /hosts/a/1", {}, body).starts_with("HTTP/1.1 200"));
    CHECK(test.call(address, "PUT /hosts/b", {}, body).starts_with("HTTP/1.1 400"));
    CHECK(test.call(address, "POST /hosts/a/1/leaving").starts_with("HTTP/1.1 200"));
    const auto list = test.call(address, "GET /hosts");
    CHECK(list.find(R"("leaving":true)") != std::string::npos);
    CHECK(test.call(address, "DELETE /hosts/a/1").starts_with("HTTP/1.1 200"));
    CHECK(test.call(address, "DELETE /hosts/a/1").starts_with("HTTP/1.1 404"));
    CHECK(test.call(address, "POST /hosts/a/1/leaving").starts_with("HTTP/1.1 404"));
}
