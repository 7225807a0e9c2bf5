#include "mimosavalve/adapters/http_target_control.hpp"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "loopback.hpp"
#include "mimosavalve/adapters/http_server.hpp"
#include "mimosavalve/adapters/target_clock.hpp"
#include "mimosavalve/core/error.hpp"

namespace adapters = mimosavalve::adapters;
namespace http = boost::beast::http;
namespace ports = mimosavalve::ports;
using mimosavalve::errc;
using nlohmann::json;
using namespace std::chrono_literals;

namespace {

using probe_outcome = loopback::outcome<ports::probe_result>;

constexpr std::uint64_t clock_offset_ms = 5'000'000;

// The target's clock in this test: the host's own, shifted.
std::uint64_t target_clock(mimosavalve::steady_time time) {
    return static_cast<std::uint64_t>(
               std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch())
                   .count()) +
           clock_offset_ms;
}

// A target that records what it is asked and answers as the test sets.
struct fixture {
    boost::asio::io_context context;
    std::vector<std::string> paths;
    std::vector<json> orders;
    std::optional<std::string> probe_answer;
    std::optional<http::status> order_status{http::status::ok};
    adapters::http_server server{
        context, {}, [this](const adapters::http_request& request, const auto&) {
            return answer(request);
        }};
    adapters::http_target_control client{context};
    ports::target_control control = client.port();

    fixture() { REQUIRE(!server.listen()); }

    std::optional<adapters::http_response> answer(const adapters::http_request& request) {
        paths.emplace_back(request.target());
        if (request.target() == "/probe") {
            const json body{{"clock_ms", target_clock(std::chrono::steady_clock::now())},
                            {"instance", 77},
                            {"load", 3},
                            {"leaving", true}};
            return adapters::make_response(http::status::ok, probe_answer.value_or(body.dump()));
        }
        orders.push_back(json::parse(request.body(), nullptr, false));
        if (!order_status) {
            return std::nullopt;
        }
        return adapters::make_response(*order_status);
    }

    probe_outcome probe() {
        return loopback::await<ports::probe_result>(
            context, [&](auto done) { control.probe(server.address(), loopback::in(5s), done); });
    }

    std::error_code grant(mimosavalve::steady_time deadline) {
        return loopback::await_done(context, [&](auto done) {
            control.grant(server.address(), {{"status", 0, 10, {1, 5}}}, deadline, done);
        });
    }
};

}  // namespace

TEST_CASE("a probe delivers clock, instance, load and condition [http_target_control]") {
    fixture test;
    const auto result = test.probe();
    CHECK(!result.error);
    CHECK(result.value.clock_ms > clock_offset_ms);
    CHECK(result.value.instance == 77);
    CHECK(result.value.load == 3);
    CHECK(result.value.leaving);
}

// A deadline that is late on the target's clock would let an order act after its lease.
TEST_CASE("orders carry fences and a deadline that is never late [http_target_control]") {
    fixture test;
    const auto deadline = loopback::in(400ms);
    CHECK(!test.grant(deadline));
    CHECK(test.paths == std::vector<std::string>{"/probe", "/grant"});
    const auto& order = test.orders.at(0);
    CHECK(order["grants"] ==
          json::parse(R"([{"service":"status","first_slot":0,"count":10,"fence":"1.5"}])"));
    CHECK(order["deadline_clock_ms"].get<std::uint64_t>() <= target_clock(deadline));
    CHECK(order["deadline_clock_ms"].get<std::uint64_t>() > target_clock(deadline) - 300);
    CHECK(order["instance"] == 77);
}

TEST_CASE("a fresh reading saves the probe before an order [http_target_control]") {
    fixture test;
    CHECK(!test.probe().error);
    CHECK(!test.grant(loopback::in(400ms)));
    CHECK(!test.grant(loopback::in(400ms)));
    CHECK(test.paths == std::vector<std::string>{"/probe", "/grant", "/grant"});
}

// A target restarted after a failed exchange may have another clock.
TEST_CASE("a failed exchange discards the reading [http_target_control]") {
    fixture test;
    test.order_status.reset();
    CHECK(test.grant(loopback::in(400ms)) == errc::target_unreachable);
    test.order_status = http::status::ok;
    CHECK(!test.grant(loopback::in(400ms)));
    CHECK(test.paths == std::vector<std::string>{"/probe", "/grant", "/probe", "/grant"});
}

// Taking a refusal for a lost target, or the reverse, would move slots without need.
TEST_CASE("answers of a target are told apart [http_target_control]") {
    fixture test;
    test.order_status = http::status::conflict;
    CHECK(test.grant(loopback::in(1s)) == errc::target_refused);
    test.order_status = http::status::service_unavailable;
    CHECK(test.grant(loopback::in(1s)) == errc::target_unreachable);
    test.order_status = http::status::bad_request;
    CHECK(test.grant(loopback::in(1s)) == errc::malformed_message);
    CHECK(test.grant(loopback::in(-1ms)) == errc::deadline_exceeded);
    CHECK(test.orders.size() == 3);
}

TEST_CASE("revocations use their own path [http_target_control]") {
    fixture test;
    const auto error = loopback::await_done(test.context, [&](auto done) {
        test.control.revoke(test.server.address(), {}, loopback::in(1s), done);
    });
    CHECK(!error);
    CHECK(test.paths.back() == "/revoke");
    CHECK(test.orders.at(0)["grants"] == json::array());
}

TEST_CASE("broken probe answers are errors [http_target_control]") {
    fixture test;
    for (const auto* answer :
         {"", "[]", "null", "{}", R"({"clock_ms":-1,"instance":1,"load":1,"leaving":false})",
          R"({"clock_ms":1,"instance":"1","load":1,"leaving":false})",
          R"({"clock_ms":1,"instance":1,"load":9999999999,"leaving":false})",
          R"({"clock_ms":1,"instance":1,"load":1,"leaving":0})"}) {
        CAPTURE(answer);
        test.probe_answer = answer;
        CHECK(test.probe().error == errc::malformed_message);
        CHECK(test.grant(loopback::in(1s)) == errc::malformed_message);
    }
    CHECK(test.orders.empty());
}

// A frozen target still accepts connections; only the deadline ends the probe.
TEST_CASE("a frozen target ends the probe at its deadline [http_target_control]") {
    fixture test;
    using tcp = boost::asio::ip::tcp;
    const tcp::acceptor frozen(test.context, {boost::asio::ip::address_v4::loopback(), 0});
    const auto deadline = loopback::in(100ms);
    const auto result = loopback::await<ports::probe_result>(test.context, [&](auto done) {
        test.control.probe(adapters::to_string(frozen.local_endpoint()), deadline, done);
    });
    CHECK(result.error == errc::deadline_exceeded);
    CHECK(std::chrono::steady_clock::now() >= deadline);
}

TEST_CASE("a target that cannot be reached is reported as such [http_target_control]") {
    fixture test;
    for (const auto* address : {"127.0.0.1:1", "nowhere"}) {
        const auto result = loopback::await<ports::probe_result>(
            test.context, [&](auto done) { test.control.probe(address, loopback::in(1s), done); });
        CHECK(result.error == errc::target_unreachable);
    }
}

TEST_CASE("a mapped deadline is early by 2 percent of the time left [target_clock]") {
    const mimosavalve::steady_time arrived{100s};
    const adapters::clock_reading reading{5000, 1, arrived};
    CHECK(adapters::map_deadline(reading, arrived + 1000ms) == 5980);
    CHECK(adapters::map_deadline(reading, arrived + 1ms) == 5000);
    CHECK(adapters::map_deadline(reading, arrived - 1s) == 5000);
    CHECK(adapters::is_fresh(reading, arrived + 999ms));
    CHECK(!adapters::is_fresh(reading, arrived + 1s));
}
