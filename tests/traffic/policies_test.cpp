#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "mimosavalve/traffic/account_limit.hpp"
#include "mimosavalve/traffic/admission_queue.hpp"
#include "mimosavalve/traffic/outlier_ejection.hpp"
#include "mimosavalve/traffic/quarantine.hpp"
#include "mimosavalve/traffic/retry_budget.hpp"
#include "mimosavalve/traffic/slow_start.hpp"
#include "mimosavalve/traffic/target_clock.hpp"
#include "mimosavalve/traffic/target_window.hpp"

using namespace mimosavalve;
using namespace mimosavalve::traffic;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time(std::chrono::hours(1));

}  // namespace

// Unbounded retries multiply the load of a failing target.
TEST_CASE("retries are at most a tenth of the requests plus 3 per second [retry_budget]") {
    retry_budget budget;
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        record_first_attempt(budget);
        retries += try_acquire_retry(budget, start + request * 1ms) ? 1 : 0;
    }
    CHECK(retries >= 100);
    CHECK(retries <= 3 + 100 + 3);
    CHECK(try_acquire_retry(budget, start + 10s));
}

// With a Start-By later than the true deadline, a suspended target that has lost its slots could
// still start a request.
TEST_CASE("Start-By is never later than the deadline in the target's clock [target_clock]") {
    const clock_reading reading{1000, 1, start};
    for (const auto age : {0ms, 100ms, 4000ms}) {
        const auto now = start + age;
        const auto value = start_by_ms(reading, now + 250ms, now);
        REQUIRE(value);
        // The target's clock may be 2% slow.
        const auto slowest = 1000 + (age.count() + 250) * 98 / 100;
        CHECK(*value <= static_cast<std::uint64_t>(slowest));
        CHECK(*value + 90 >= 1000 + static_cast<std::uint64_t>(age.count()) + 250);
    }
    CHECK_FALSE(start_by_ms(reading, start, start));
    CHECK_FALSE(is_usable(reading, start + 5s));
    CHECK_FALSE(is_usable_on_new_connection(reading, start + 1s));
}

// A target that refuses requests must get fewer at once, and more only slowly after that.
TEST_CASE(
    "the window stays within its bounds and shrinks on refusals and latency "
    "[target_window]") {
    target_window window;
    set_bounds(window, 4, 130, 2);
    CHECK(window.limit == 2);
    auto now = start;
    for (int answer = 0; answer < 5000; ++answer) {
        now += 1ms;
        record_success(window, 2ms, now);
    }
    CHECK(window.limit == doctest::Approx(65));
    CHECK(has_room(window, 64));
    CHECK_FALSE(has_room(window, 65));
    record_refusal(window, now);
    record_refusal(window, now);
    CHECK(window.limit == doctest::Approx(65 * 0.7));
    const auto before = window.limit;
    for (int answer = 0; answer < 50; ++answer) {
        now += 10ms;
        record_success(window, 40ms, now);
    }
    CHECK(window.limit < before / 2);
    for (int refusal = 0; refusal < 100; ++refusal) {
        now += 100ms;
        record_refusal(window, now);
    }
    CHECK(window.limit == 2);
    CHECK(expected_wait(window, 3) > 10ms);
}

// If each of twelve routers started with one request, a cold target would get twelve at once.
TEST_CASE("a fresh target gets about one request over all routers at first [slow_start]") {
    constexpr std::uint32_t sharers = 12;
    std::mt19937 random(20261204);
    std::uniform_real_distribution<double> chance(0, 1);
    std::vector<slow_start> ramps(sharers);
    for (auto& ramp : ramps) {
        restart_ramp(ramp, 130);
    }
    double running = 0;
    constexpr int turns = 2000;
    for (int turn = 0; turn < turns; ++turn) {
        for (auto& ramp : ramps) {
            const auto now = start + turn * 20ms;
            const bool has_turn = can_start_request(ramp, 0, sharers, chance(random), now);
            // A second call within a turn must not draw again.
            CHECK(can_start_request(ramp, 0, sharers, chance(random), now + 10ms) == has_turn);
            CHECK_FALSE(can_start_request(ramp, 1, sharers, 0, now));
            running += has_turn ? 1 : 0;
        }
    }
    CHECK(running / turns > 0.8);
    CHECK(running / turns < 1.2);
}

// A ramp that ended only at all connections kept a target with little load at a low limit for many
// seconds.
TEST_CASE("the ramp ends at twice the slots, within the connections [slow_start]") {
    CHECK(max_ramp_limit(4, 130) == 8);
    CHECK(max_ramp_limit(4, 5) == 5);
    CHECK(max_ramp_limit(0, 0) == 1);
}

TEST_CASE(
    "the limit doubles with successes and restarts when the target is cold "
    "[slow_start]") {
    slow_start ramp;
    restart_ramp(ramp, 16);
    for (int answer = 0; answer < 32; ++answer) {
        record_success(ramp, 2ms, 4, 16, 1);
    }
    CHECK(ramp.limit == 2);
    CHECK(can_start_request(ramp, 1, 1, 1, start));
    CHECK_FALSE(can_start_request(ramp, 2, 1, 1, start));
    for (int answer = 0; answer < 3 * 32; ++answer) {
        record_success(ramp, 2ms, 4, 16, 1);
    }
    CHECK_FALSE(ramp.ramping);
    for (int answer = 0; answer < 5; ++answer) {
        record_success(ramp, 20ms, 4, 16, 1);
    }
    CHECK_FALSE(ramp.ramping);
    record_refusal(ramp);
    record_refusal(ramp);
    record_refusal(ramp);
    record_success(ramp, 20ms, 4, 16, 1);
    CHECK(ramp.ramping);
    CHECK(ramp.limit == 1);
}

// One customer that exceeds its rate must not use the share of the others.
TEST_CASE("an account gets its share of its rate on each router [account_limit]") {
    account_limit limit;
    int taken = 0;
    for (int tick = 0; tick < 10000; ++tick) {
        taken += try_acquire_token(limit, 100, 4, start + tick * 1ms) ? 1 : 0;
    }
    CHECK(taken >= 250);
    CHECK(taken <= 250 + 26);
    CHECK(try_acquire_token(limit, 0, 4, start));
    account_limit slow;
    CHECK(try_acquire_token(slow, 0.1, 1, start));
    CHECK_FALSE(try_acquire_token(slow, 0.1, 1, start + 5s));
    CHECK(try_acquire_token(slow, 0.1, 1, start + 11s));
}

// Ejecting many targets would overload the rest.
TEST_CASE(
    "a slow target is ejected, at most a third at once, and returns on probation "
    "[outlier_ejection]") {
    std::vector<target_latency> targets(7);
    std::vector<const target_latency*> all;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        for (int answer = 0; answer < 20; ++answer) {
            record_latency(targets[index], index < 3 ? 50ms : 5ms);
        }
        all.push_back(&targets[index]);
    }
    CHECK_FALSE(eject_if_outlier(targets[5], all, start));
    CHECK(eject_if_outlier(targets[0], all, start));
    CHECK(eject_if_outlier(targets[1], all, start));
    CHECK_FALSE(eject_if_outlier(targets[2], all, start));
    CHECK_FALSE(can_accept_request(targets[0], 0, start));
    CHECK(can_accept_request(targets[0], 0, start + 1s));
    CHECK_FALSE(can_accept_request(targets[0], 1, start + 1s));
    for (int answer = 0; answer < 3; ++answer) {
        record_latency(targets[0], 5ms);
        record_latency(targets[1], 50ms);
    }
    CHECK_FALSE(eject_if_outlier(targets[0], all, start + 1s));
    CHECK(can_accept_request(targets[0], 1, start + 1s));
    CHECK(eject_if_outlier(targets[1], all, start + 1s));
    CHECK_FALSE(can_accept_request(targets[1], 0, start + 2s));
    CHECK(can_accept_request(targets[1], 0, start + 3s));
}

// A caller that retries a crashing request would crash one target after the other.
TEST_CASE("the only request common to two losses is quarantined [quarantine]") {
    quarantine state;
    record_lost_connection(state, "t-1", 7, start);
    record_lost_connection(state, "t-1", 8, start + 10ms);
    record_lost_connection(state, "t-1", 7, start + 20ms);
    CHECK(update_quarantine(state, start + 1s).empty());
    record_lost_connection(state, "t-2", 7, start + 2s);
    record_lost_connection(state, "t-2", 9, start + 2s);
    CHECK(update_quarantine(state, start + 2100ms).empty());
    CHECK(update_quarantine(state, start + 3s).empty());
    confirm_loss(state, "t-1", start + 3s);
    confirm_loss(state, "t-2", start + 3s);
    CHECK(update_quarantine(state, start + 3s) == std::vector<std::uint64_t>{7});
    CHECK(update_quarantine(state, start + 4s).empty());
    CHECK(is_quarantined(state, 7, start + 4s));
    CHECK_FALSE(is_quarantined(state, 8, start + 4s));
    CHECK_FALSE(is_quarantined(state, 7, start + 11min));
}

// When two requests were in flight at both losses, it is unknown which of them crashed the targets.
TEST_CASE("losses with several requests in common quarantine none of them [quarantine]") {
    quarantine state;
    for (const auto at : {start, start + 2s}) {
        record_lost_connection(state, "t-1", 7, at);
        record_lost_connection(state, "t-1", 8, at);
        confirm_loss(state, "t-1", at);
    }
    CHECK(update_quarantine(state, start + 3s).empty());
}

// A request for a busy key is in flight at each of the key's owners, so two of them may crash
// during it without having crashed because of it.
TEST_CASE("a request that was answered after its losses is no longer a suspect [quarantine]") {
    quarantine state;
    const auto record_confirmed_loss = [&](const char* target, steady_time at) {
        record_lost_connection(state, target, 7, at);
        confirm_loss(state, target, at);
    };
    record_confirmed_loss("t-1", start);
    record_confirmed_loss("t-2", start + 2s);
    CHECK(find_suspects(state, start + 3s) == std::vector<std::uint64_t>{7});
    CHECK(update_quarantine(state, start + 3s, 3).empty());
    clear_suspect(state, 7);
    CHECK(find_suspects(state, start + 3s).empty());
    record_confirmed_loss("t-3", start + 4s);
    CHECK(update_quarantine(state, start + 5s, 3).empty());
    record_confirmed_loss("t-4", start + 6s);
    record_confirmed_loss("t-5", start + 8s);
    CHECK(update_quarantine(state, start + 9s, 3) == std::vector<std::uint64_t>{7});
}

TEST_CASE("the fingerprint covers route, account, method, path and body [quarantine]") {
    request_head head;
    head.method = "POST";
    REQUIRE(split_path("/status/ward-4/a", head));
    const auto base = fingerprint_of(head, "body");
    CHECK(fingerprint_of(head, "body") == base);
    CHECK(fingerprint_of(head, "other") != base);
    head.method = "PUT";
    CHECK(fingerprint_of(head, "body") != base);
}

// Without turns the account with the most waiting requests would get all the capacity.
TEST_CASE("accounts take turns and classes go in order [admission_queue]") {
    admission_queue queue;
    std::vector<waiting_request> requests(8);
    const auto deadline = start + 1s;
    for (std::size_t index = 0; index < 5; ++index) {
        requests[index] = {"busy", config::traffic_class::order, 1, deadline, nullptr};
    }
    requests[5] = {"quiet", config::traffic_class::order, 1, deadline, nullptr};
    requests[6] = {"quiet", config::traffic_class::status, 1, deadline, nullptr};
    requests[7] = {"quiet", config::traffic_class::upload, 4, deadline, nullptr};
    for (auto& request : requests) {
        CHECK(push(queue, request));
    }
    CHECK(pop(queue, start) == &requests[6]);
    CHECK(pop(queue, start) == &requests[0]);
    CHECK(pop(queue, start) == &requests[5]);
    CHECK(pop(queue, start) == &requests[1]);
    remove(queue, requests[2]);
    CHECK(pop(queue, start) == &requests[3]);
    CHECK(pop(queue, start) == &requests[4]);
    CHECK(pop(queue, start) == &requests[7]);
    CHECK(pop(queue, start) == nullptr);
    CHECK(queue.size == 0);
}

TEST_CASE("the queue is full at its maximum size and discards expired requests [admission_queue]") {
    admission_queue queue;
    queue.max_size = 2;
    waiting_request first{"a", {}, 1, start + 1s, nullptr};
    waiting_request second{"a", {}, 1, start + 3s, nullptr};
    waiting_request third{"a", {}, 1, start + 3s, nullptr};
    CHECK(push(queue, first));
    CHECK(push(queue, second));
    CHECK_FALSE(push(queue, third));
    CHECK(pop(queue, start + 2s) == &second);
    CHECK(queue.size == 0);
}
