#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <thread>

#include "gateway/path_fixture.hpp"

using namespace mimosavalve::gateway;
using namespace mimosavalve::gateway::testing;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

namespace {

const boot_time start = boot_time(std::chrono::hours(1));

/// State of a router of a fleet whose unkeyed service has this many targets, none of them measured.
routing_state make_fleet(int targets) {
    routing_state state;
    state.own_domain = "a1";
    state.own_region = "a";
    state.regions = {{"a1", "a"}, {"b1", "b"}};
    for (const auto* name : {"orders", "status", "uploads"}) {
        service added;
        added.name = name;
        state.config.services.emplace(name, added);
    }
    route orders;
    orders.name = "orders";
    orders.home_regions = {"a"};
    orders.services.push_back({"orders", 1});
    state.config.routes.push_back(orders);
    const std::array<const char*, 3> services{"orders", "status", "uploads"};
    for (int number = 0; number < targets; ++number) {
        target_entry entry;
        entry.id = "t" + std::to_string(number);
        entry.service = services[static_cast<std::size_t>(number) % services.size()];
        entry.failure_domain = number % 2 == 0 ? "a1" : "b1";
        entry.slots = 4;
        state.registry.targets.emplace(entry.id, entry);
        state.concurrency_quotas[entry.id] = 6;
    }
    update_targets(state, start);
    return state;
}

/// Shortest of several measured times of one choice, so that other processes do not count.
std::chrono::nanoseconds choice_time(int targets) {
    auto state = make_fleet(targets);
    const choice_request request{&state.config.routes.front(), "orders", std::nullopt, {}};
    auto shortest = std::chrono::nanoseconds::max();
    for (int round = 0; round < 9; ++round) {
        const auto began = steady::now();
        constexpr int choices = 5;
        for (int count = 0; count < choices; ++count) {
            REQUIRE(choose_target(state, request, start).kind == choice_kind::target);
        }
        shortest = std::min<std::chrono::nanoseconds>(shortest, (steady::now() - began) / choices);
    }
    return shortest;
}

/// Keeps the event loop from running.
void hold_loop(milliseconds time) {
    std::this_thread::sleep_for(time);
}

}  // namespace

TEST_CASE("a request that is first read after its caller has left is not sent [late_loop]") {
    for (const bool is_keyed : {false, true}) {
        CAPTURE(is_keyed);
        path_fixture path(request_kind::idempotent);
        path.settle();
        if (is_keyed) {
            path.make_target_owner();
        }
        path.send("GET /7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r1\r\nKey: 7\r\n\r\n");
        path.caller.close();
        path.settle();
        CHECK(path.target.received.empty());
        CHECK(path.core.metrics.counters["callers_left"] == 1);
        CHECK(path.core.state.targets["t1"]->running == 0);
    }
}

TEST_CASE(
    "a request that lay unread beyond its time-out is refused at once as not run [late_loop]") {
    path_fixture path(request_kind::idempotent, milliseconds(300));
    path.settle();
    path.get("r1");
    hold_loop(milliseconds(400));
    const auto text = path.receive("\r\n\r\n");
    CHECK(text.find("HTTP/1.1 503") == 0);
    CHECK(text.find("Mimosavalve-Verdict: not-run") != std::string::npos);
    CHECK(path.target.received.empty());
}

TEST_CASE("the time that a request lay unread counts for the target's deadline [late_loop]") {
    path_fixture path(request_kind::idempotent, milliseconds(1000));
    path.settle();
    path.get("r1");
    hold_loop(milliseconds(400));
    path.settle();
    REQUIRE(path.target.received.size() == 1);
    const auto& received = path.target.received.front();
    const auto field = received.find("Deadline: ");
    REQUIRE(field != std::string::npos);
    CHECK(std::stoi(received.substr(field + 10)) <= 600);
}

TEST_CASE("the cost of a choice does not grow with the square of the targets [late_loop]") {
    // Ten times as many targets: 10 times the cost if it is proportional, 100 times if squared.
    constexpr int targets = 90;
    const auto few = choice_time(targets);
    const auto many = choice_time(targets * 10);
    CAPTURE(few.count());
    CAPTURE(many.count());
    CHECK(many <= few * 30);
}

TEST_CASE("requests that wait for the same targets share one choice in a round [late_loop]") {
    path_fixture path(request_kind::idempotent);
    path.core.state.concurrency_quotas["t1"] = 4;
    path.settle();
    constexpr int requests = 12;
    for (int number = 0; number < requests; ++number) {
        path.get("r" + std::to_string(number));
    }
    path.settle();
    REQUIRE(path.core.waiting.size() == requests - 4);
    const auto& choices = path.core.metrics.latencies["choice"];
    const auto before = choices.total();
    dispatch_waiting(path.core);
    CHECK(path.core.waiting.size() == requests - 4);
    CHECK(choices.total() == before + 1);
    // A free slot is used by the request that waits longest, and by no other.
    path.target.answer(
        0, "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nContent-Length: 0\r\n\r\n");
    path.settle();
    dispatch_waiting(path.core);
    path.settle();
    CHECK(path.core.waiting.size() == requests - 5);
    CHECK(path.target.received.size() == 5);
}

TEST_CASE("all connections that wait are accepted in one turn of the event loop [late_loop]") {
    boost::asio::io_context context;
    std::vector<std::unique_ptr<stream>> accepted;
    const listener router(
        context, {boost::asio::ip::address_v4::loopback(), 0},
        [&](std::unique_ptr<stream> connection) { accepted.push_back(std::move(connection)); });
    boost::asio::io_context caller_context;
    std::vector<tcp::socket> callers;
    constexpr std::size_t caller_count = 20;
    for (std::size_t number = 0; number < caller_count; ++number) {
        callers.emplace_back(caller_context).connect(router.address());
    }
    context.run_one();
    CHECK(accepted.size() == caller_count);
}
