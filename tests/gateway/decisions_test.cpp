#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <random>

#include "mimosavalve/gateway/admission.hpp"
#include "mimosavalve/gateway/key_plan.hpp"
#include "mimosavalve/gateway/quota_allocation.hpp"
#include "mimosavalve/gateway/rate_limiter.hpp"
#include "mimosavalve/gateway/retry_budget.hpp"

using namespace mimosavalve::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

boot_time at_ms(std::int64_t time) {
    return boot_time(seconds(1000) + milliseconds(time));
}

std::vector<key_candidate> candidates(std::size_t count, double capacity) {
    std::vector<key_candidate> out;
    for (std::size_t number = 0; number < count; ++number) {
        out.push_back({"t" + std::to_string(number), 1, capacity});
    }
    return out;
}

key_map apply(key_map map, const std::vector<planned_move>& moves, std::uint64_t fence) {
    for (const auto& move : moves) {
        assign(map, {move.first, move.last, move.to, fence++, false, move.to_instance, 0});
    }
    return map;
}

double load_of(const key_map& map, const key_rates& rates, const std::string& owner) {
    double load = 0;
    for (const auto& segment : segments_of(map, owner)) {
        load += rate_of(rates, segment.first, segment.last);
    }
    return load;
}

}  // namespace

TEST_CASE("assigning ranges in any order keeps the map complete [key_map]") {
    CHECK(rc::check([] {
        key_map map;
        const auto changes = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 65536), rc::gen::inRange(0, 65536)));
        std::vector<std::string> expected(key_count);
        std::uint64_t fence = 1;
        for (const auto& [one, other] : changes) {
            const auto first = static_cast<std::uint32_t>(std::min(one, other));
            const auto last = static_cast<std::uint32_t>(std::max(one, other));
            const auto owner = "o" + std::to_string(fence);
            assign(map, {first, last, owner, fence++, false, 1, 0});
            std::fill(expected.begin() + first, expected.begin() + last + 1, owner);
        }
        RC_ASSERT(problem_of(map).empty());
        for (const std::uint32_t key : {0U, 1U, 1000U, 32768U, 65534U, 65535U}) {
            RC_ASSERT(segment_of(map, key).owner == expected[key]);
        }
    }));
}

TEST_CASE("the first owners get equal parts of the keys [key_plan]") {
    const auto all = candidates(20, 18);
    const auto map = apply({}, plan_unassigned({}, {}, all), 1);
    CHECK(map.segments.size() == 20);
    for (const auto& segment : map.segments) {
        CHECK(segment.last - segment.first + 1 <= key_count / 20 * 11 / 10);
    }
}

TEST_CASE("only the keys of a lost target move, spread over the others [key_plan]") {
    const auto all = candidates(10, 18);
    const auto map = apply({}, plan_unassigned({}, {}, all), 1);
    auto left = all;
    left.erase(left.begin() + 3);
    const auto moves = plan_unassigned(map, {}, left);
    const auto next = apply(map, moves, 100);
    CHECK(moves.size() > 1);
    CHECK(moved_fraction(map, next) <= 1.1 / 10);
    for (const auto& segment : next.segments) {
        CHECK(segment.owner != "t3");
    }
}

// The busy keys are neighbours, so one owner has three times the load that it can handle.
TEST_CASE("a range of busy keys is divided until no owner is above its capacity [key_plan]") {
    const auto all = candidates(10, 20);
    auto map = apply({}, plan_unassigned({}, {}, all), 1);
    key_rates rates;
    for (std::uint32_t key = 100; key < 160; ++key) {
        rates.by_key[key] = 1.0F;
    }
    REQUIRE(load_of(map, rates, "t0") == doctest::Approx(60));
    std::uint64_t fence = 100;
    for (int round = 0; round < 6; ++round) {
        const auto moves = plan_balance(map, rates, all, 6);
        map = apply(map, moves, fence);
        fence += moves.size();
    }
    for (const auto& candidate : all) {
        CHECK(load_of(map, rates, candidate.id) <= 20 * 0.7);
    }
    CHECK(problem_of(map).empty());
}

// One key alone exceeds the capacity of its owner; requests for other keys must not be delayed by
// it.
TEST_CASE("an owner keeps only the key that alone exceeds its capacity [key_plan]") {
    const auto all = candidates(10, 20);
    auto map = apply({}, plan_unassigned({}, {}, all), 1);
    key_rates rates;
    rates.by_key[200] = 80;
    rates.by_key[50] = 3;
    rates.by_key[300] = 3;
    std::uint64_t fence = 100;
    for (int round = 0; round < 4; ++round) {
        const auto moves = plan_balance(map, rates, all, 6);
        map = apply(map, moves, fence);
        fence += moves.size();
    }
    const auto owner = segment_of(map, 200).owner;
    CHECK(load_of(map, rates, owner) == doctest::Approx(80));
}

TEST_CASE("an even load causes no moves [key_plan]") {
    const auto all = candidates(10, 20);
    const auto map = apply({}, plan_unassigned({}, {}, all), 1);
    key_rates rates;
    for (auto& rate : rates.by_key) {
        rate = 80.0F / key_count;
    }
    CHECK(plan_balance(map, rates, all, 6).empty());
}

TEST_CASE("neighbouring ranges of one owner get one fence [key_plan]") {
    key_map map;
    assign(map, {0, 999, "a", 1, false, 1, 0});
    assign(map, {1000, 65535, "a", 2, false, 1, 0});
    const auto joins = plan_shared_fences(map, {{"a", 1, 10}}, 4);
    REQUIRE(joins.size() == 1);
    CHECK(joins.front() == planned_move{0, 65535, "a", 1});
}

TEST_CASE("concurrency quotas follow demand and their sum fits the targets [place_plan]") {
    const std::vector<quota_target> targets{{"a", 6}, {"b", 6}, {"c", 6}, {"d", 6}, {"e", 6}};
    std::vector<router_demand> routers;
    routers.reserve(11);
    for (int number = 0; number < 11; ++number) {
        routers.push_back({"h" + std::to_string(number), number < 2 ? 20.0 : 2.0});
    }
    const auto quotas = allocate_concurrency(targets, routers);
    std::uint32_t total = 0;
    std::map<std::string, std::uint32_t> by_target;
    for (const auto& [host, host_quotas] : quotas) {
        std::uint32_t host_total = 0;
        for (const auto& [target, count] : host_quotas) {
            host_total += count;
            by_target[target] += count;
        }
        CHECK(host_total >= 1);
        total += host_total;
    }
    CHECK(total <= 36);
    for (const auto& [target, count] : by_target) {
        CHECK(count <= 8);
    }
    std::uint32_t busy = 0;
    for (const auto& [target, count] : quotas.at("h0")) {
        busy += count;
    }
    CHECK(busy >= 7);
}

// 12 routers share the 10 slots of a service that is sent 1.3 times the load it can handle. Each
// router keeps at most two requests waiting; the duration of work is exponentially distributed with
// a mean of 110 ms.
TEST_CASE(
    "the slots of an overloaded service stay busy although many routers share them "
    "[place_plan]") {
    constexpr double work_ms = 110;
    constexpr double run_ms = 60'000;
    constexpr std::size_t target_count = 5;
    constexpr std::size_t router_count = 12;
    target_entry entry;
    entry.slots = 2;
    std::vector<quota_target> targets;
    for (std::size_t number = 0; number < target_count; ++number) {
        targets.push_back(
            {"t" + std::to_string(number),
             fleet_concurrency_limit(entry, 1.3, router_count / (target_count * 2.0))});
    }
    std::vector<router_demand> routers;
    for (std::size_t number = 0; number < router_count; ++number) {
        routers.push_back({"h" + std::to_string(number), 10});
    }
    auto quotas = allocate_concurrency(targets, routers);
    std::minstd_rand source(7);
    std::exponential_distribution<double> unit(1);
    std::map<std::string, int> queued;  // Number of requests by host of a router.
    // Hosts of the senders by target, in order.
    std::map<std::string, std::deque<std::string>> at_target;
    std::map<std::string, int> running;
    // Target and host by end of the work.
    std::multimap<double, std::pair<std::string, std::string>> ends;
    const auto run_next = [&](const std::string& target, double now) {
        while (running[target] < 2 && !at_target[target].empty()) {
            ends.emplace(now + work_ms * unit(source),
                         std::pair(target, at_target[target].front()));
            at_target[target].pop_front();
            ++running[target];
        }
    };
    const auto send = [&](const std::string& host, double now) {
        for (auto& [target, quota] : quotas[host]) {
            if (quota > 0 && queued[host] > 0) {
                --quota;
                --queued[host];
                at_target[target].push_back(host);
                run_next(target, now);
            }
        }
    };
    int done = 0;
    double next_arrival = 0;
    for (double now = 0; now < run_ms;) {
        if (!ends.empty() && ends.begin()->first < next_arrival) {
            now = ends.begin()->first;
            const auto [target, host] = ends.begin()->second;
            ends.erase(ends.begin());
            --running[target];
            ++done;
            ++quotas[host][target];
            run_next(target, now);
            send(host, now);
        } else {
            now = next_arrival;
            next_arrival += work_ms / (target_count * 2 * 1.3) * unit(source);
            const auto& host = routers[source() % router_count].host;
            queued[host] = std::min(queued[host] + 1, 2);
            send(host, now);
        }
    }
    const double capacity = run_ms / work_ms * target_count * 2;
    CHECK(done >= capacity * 0.9);
}

TEST_CASE(
    "rate quotas are allocated only near an owner's capacity, and not above it [place_plan]") {
    CHECK(allocate_rates(20, {{"h1", 5}, {"h2", 5}}).empty());
    const auto quotas = allocate_rates(20, {{"h1", 60}, {"h2", 20}});
    CHECK(quotas.at("h1") + quotas.at("h2") <= 20);
    CHECK(quotas.at("h1") > 2 * quotas.at("h2"));
}

// One router receives 76 requests per second for targets that can handle 69.
TEST_CASE(
    "requests that would be late are refused at once, the others are answered in time "
    "[admission]") {
    const double work_ms = 290;
    const double concurrency = 20;
    std::vector<double> free_at(static_cast<std::size_t>(concurrency), 0);
    int in_time = 0;
    int late = 0;
    int refused = 0;
    std::vector<double> starts;
    for (int number = 0; number < 610; ++number) {
        const double now = number * 1000.0 / 76;
        const auto first = std::min_element(free_at.begin(), free_at.end());
        const auto requests_ahead =
            std::count_if(starts.begin(), starts.end(), [&](double time) { return time > now; });
        if (*first > now &&
            should_refuse({static_cast<std::uint32_t>(requests_ahead), concurrency, work_ms, 0},
                          milliseconds(800))) {
            ++refused;
            continue;
        }
        starts.push_back(std::max(*first, now));
        *first = starts.back() + work_ms;
        (*first - now <= 800 ? in_time : late) += 1;
    }
    CHECK(late == 0);
    CHECK(refused > 0);
    CHECK(in_time > 610 * 0.8);
}

TEST_CASE("callers are asked to retry within a third of their remaining time [admission]") {
    const wait_estimate estimate{10, 1, 300, 0};
    for (const double random : {0.0, 0.5, 1.0}) {
        CHECK(retry_after(estimate, milliseconds(1200), random) <= milliseconds(400));
        CHECK(retry_after(estimate, milliseconds(1200), random) >= milliseconds(50));
    }
    CHECK(retry_after(estimate, milliseconds(0), 0.5) == milliseconds(0));
}

TEST_CASE("retries of all routers together stay within the limit of each window [retry_budget]") {
    platform_bounds bounds;
    bounds.retry_ratio = 0.2;
    bounds.extra_retries_per_window = 62;
    const std::uint32_t routers = 11;
    std::vector<retry_budget> budgets(routers);
    int requests = 0;
    std::vector<std::int64_t> retries;
    for (std::int64_t now = 0; now < 40'000; now += 20) {
        auto& budget = budgets[static_cast<std::size_t>(now / 20) % routers];
        record_first_attempt(budget, bounds, at_ms(now));
        ++requests;
        if (try_acquire_retry(budget, bounds, routers, at_ms(now))) {
            retries.push_back(now);
        }
    }
    for (const auto from : retries) {
        const auto in_window = std::count_if(retries.begin(), retries.end(), [&](auto time) {
            return time >= from && time < from + 10'000;
        });
        CHECK(static_cast<double>(in_window) <= 0.2 * 500 + 62);
    }
    CHECK(retries.size() > 100);
}

TEST_CASE(
    "cold targets are sent no more than their limit in any second, over all routers "
    "[rate_limiter]") {
    const std::uint32_t routers = 12;
    std::vector<rate_limiter> limiters(routers);
    std::vector<std::int64_t> permitted;
    for (std::int64_t now = 0; now < 5000; now += 7) {
        for (std::uint32_t rank = 0; rank < routers; ++rank) {
            if (try_acquire(limiters[rank], share_of(12.5, routers, rank), seconds(1),
                            at_ms(now))) {
                permitted.push_back(now);
            }
        }
    }
    for (const auto from : permitted) {
        CHECK(std::count_if(permitted.begin(), permitted.end(),
                            [&](auto time) { return time >= from && time < from + 1000; }) <= 12);
    }
    CHECK(share_of(3, 12, 2) == 1);
    CHECK(share_of(3, 12, 3) == 0);
}
