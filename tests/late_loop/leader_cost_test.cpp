#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <string>

#include "mimosavalve/gateway/quota_plan.hpp"

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
    auto shortest = std::chrono::nanoseconds::max();
    for (int round = 0; round < 5; ++round) {
        const auto began = steady::now();
        const auto plan = plan_quotas(planned.state, planned.demand, planned.routers, start);
        shortest = std::min<std::chrono::nanoseconds>(shortest, steady::now() - began);
        REQUIRE(plan.concurrency.size() == static_cast<std::size_t>(router_count));
    }
    return shortest;
}

}  // namespace

TEST_CASE("the cost of a plan of quotas does not grow with routers times targets [late_loop]") {
    // Ten times as many of both: 10 times the cost if it is proportional, 100 times if multiplied.
    constexpr int routers = 30;
    const auto few = plan_time(routers);
    const auto many = plan_time(routers * 10);
    CAPTURE(few.count());
    CAPTURE(many.count());
    CHECK(many <= few * 30);
}
