#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <string>

#include "mimosavalve/gateway/key_plan.hpp"
#include "mimosavalve/gateway/quota_plan.hpp"
#include "mimosavalve/gateway/state_update.hpp"

using namespace mimosavalve::gateway;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

namespace {

const boot_time start = boot_time(std::chrono::hours(1));

/// Leader's view of a fleet under load: three times as many targets as routers, two thirds of them
/// owners of keys, and routers that each send to some of the owners.
struct fleet {
    explicit fleet(int router_count) {
        const std::array<std::string, 4> domains{"a1", "a2", "b1", "b2"};
        state.own_domain = "a1";
        state.own_region = "a";
        state.regions = {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"b2", "b"}};
        for (const auto* name : {"status", "orders"}) {
            service added;
            added.name = name;
            added.keyed = added.name == "status";
            added.max_connections = 1800;
            state.config.services.emplace(name, added);
            route to_service;
            to_service.name = name;
            to_service.services.push_back({name, 1});
            state.config.routes.push_back(to_service);
        }
        for (int number = 0; number < router_count; ++number) {
            const auto host = "h" + std::to_string(number);
            routers.emplace(host, domains[static_cast<std::size_t>(number) % domains.size()]);
            record_demand(demand, "orders", host, 5, start);
        }
        for (int number = 0; number < router_count * 3; ++number) {
            target_entry entry;
            entry.id = "t" + std::to_string(number);
            entry.service = number % 3 == 0 ? "orders" : "status";
            entry.failure_domain = domains[static_cast<std::size_t>(number) % domains.size()];
            entry.slots = 4;
            state.registry.targets.emplace(entry.id, entry);
            constexpr int senders = 10;
            for (int sender = 0; sender < senders; ++sender) {
                const auto router = (number * senders + sender) % router_count;
                record_demand(demand, entry.id, "h" + std::to_string(router), 1, start);
            }
        }
        update_targets(state, start);
    }

    routing_state state;
    demand_rates demand;
    std::map<std::string, std::string> routers;
};

std::chrono::nanoseconds plan_time(int router_count) {
    const fleet planned(router_count);
    dispatch_state dispatch;
    auto shortest = std::chrono::nanoseconds::max();
    for (int round = 0; round < 5; ++round) {
        const auto began = steady::now();
        const auto plan =
            plan_quotas(planned.state, planned.demand, planned.routers, dispatch, start);
        shortest = std::min<std::chrono::nanoseconds>(shortest, steady::now() - began);
        REQUIRE(plan.concurrency.size() == static_cast<std::size_t>(router_count));
    }
    return shortest;
}

/// Owners of equal ranges of all keys, three ranges each in turn.
struct key_owners {
    explicit key_owners(std::uint32_t owner_count) {
        const auto range_count = owner_count * 3;
        map.segments.clear();
        for (std::uint32_t range = 0; range < range_count; ++range) {
            key_segment segment;
            segment.first =
                static_cast<std::uint32_t>(std::uint64_t{key_count} * range / range_count);
            segment.last =
                static_cast<std::uint32_t>(std::uint64_t{key_count} * (range + 1) / range_count) -
                1;
            segment.owner = "t" + std::to_string(range % owner_count);
            segment.fence = range + 1;
            map.segments.push_back(segment);
        }
        for (std::uint32_t number = 0; number < owner_count; ++number) {
            candidates.push_back({"t" + std::to_string(number), 0, 100});
        }
    }

    key_map map;
    key_rates rates;
    std::vector<key_candidate> candidates;
};

std::chrono::nanoseconds unassigned_time(std::uint32_t owner_count) {
    const key_owners owned(owner_count);
    auto shortest = std::chrono::nanoseconds::max();
    for (int round = 0; round < 5; ++round) {
        const auto began = steady::now();
        const auto moves = plan_unassigned(owned.map, owned.rates, owned.candidates);
        shortest = std::min<std::chrono::nanoseconds>(shortest, steady::now() - began);
        REQUIRE(moves.empty());
    }
    return shortest;
}

}  // namespace

TEST_CASE("looking for keys without an owner does not cost ranges times targets [late_loop]") {
    // A leader looks for them twenty times a second. With 536 owners this alone kept it busy for a
    // part of each second, so that grants were renewed late and targets answered 421.
    constexpr std::uint32_t owners = 200;
    const auto few = unassigned_time(owners);
    const auto many = unassigned_time(owners * 10);
    CAPTURE(few.count());
    CAPTURE(many.count());
    CHECK(many <= few * 30);
}

TEST_CASE("a difference is built once for all routers that have the same state [late_loop]") {
    // Building it anew for each reply cost the leader routers times ranges for each change.
    state_history<key_map, key_map_update> maps;
    maps.add(key_owners(2).map);
    const auto earlier = maps.number();
    maps.add(key_owners(3).map);
    const auto* first = &maps.update_since(earlier);
    CHECK_FALSE(first->whole);
    CHECK(&maps.update_since(earlier) == first);
    CHECK(maps.update_since(earlier + 100).whole);

    // A later state makes other differences.
    maps.add(key_owners(4).map);
    CHECK(maps.update_since(earlier).segments ==
          difference(*maps.find(earlier), *maps.last()).segments);
}

TEST_CASE("the cost of a plan of quotas does not grow with routers times targets [late_loop]") {
    // Ten times as many of both: 10 times the cost if it is proportional, 100 times if multiplied.
    constexpr int routers = 30;
    const auto few = plan_time(routers);
    const auto many = plan_time(routers * 10);
    CAPTURE(few.count());
    CAPTURE(many.count());
    CHECK(many <= few * 30);
}
