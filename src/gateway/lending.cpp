#include "mimosavalve/gateway/lending.hpp"

#include <algorithm>

namespace mimosavalve::gateway {

namespace detail {

struct lending {
    const routing_state& state;
    const demand_rates& demand;
    const std::map<std::string, std::string>& routers;
    boot_time now;
};

void add_rates(lending_plan& plan, const lending& input, const std::string& id,
               const target_state& target) {
    std::vector<borrowing_router> borrowing;
    borrowing.reserve(input.routers.size());
    for (const auto& [host, domain] : input.routers) {
        borrowing.push_back({host, demand_of(input.demand, id, host, input.now)});
    }
    for (const auto& [host, rate] : lend_rates(capacity_of(input.state, target), borrowing)) {
        plan.rates[host].emplace(id, rate);
    }
}

struct region_targets {
    std::vector<lent_target> targets;
    double capacity = 0;
    double slots = 0;
};

void add_places(lending_plan& plan, const lending& input, const std::string& service,
                const std::string& region, region_targets& in) {
    std::vector<borrowing_router> borrowing;
    double demand = 0;
    for (const auto& [host, domain] : input.routers) {
        const auto wanted =
            demand_in_region(input.demand, input.state, service, region, host,
                             std::string(region_of(input.state.regions, domain)), input.now);
        if (wanted.may_use) {
            borrowing.push_back({host, wanted.per_second});
            demand += wanted.per_second;
        }
    }
    const auto routers_per_slot = static_cast<double>(borrowing.size()) / in.slots;
    for (auto& target : in.targets) {
        target.places = places_of(input.state.targets.find(target.id)->second->entry,
                                  demand / in.capacity, routers_per_slot);
    }
    for (const auto& [host, places] : lend_places(in.targets, borrowing)) {
        plan.places[host].insert(places.begin(), places.end());
    }
}

// Two sync calls that a slow way has delayed, at most 0.9 s each, and a pause between them.
constexpr milliseconds hearing_time{2000};

}  // namespace detail

std::uint32_t sharing_routers(std::uint32_t heard_of, milliseconds leading_for) {
    return leading_for < detail::hearing_time ? std::max(heard_of, assumed_routers) : heard_of;
}

lending_plan plan_lending(const routing_state& state, const demand_rates& demand,
                          const std::map<std::string, std::string>& routers, boot_time now) {
    lending_plan plan;
    const detail::lending input{state, demand, routers, now};
    std::map<std::pair<std::string, std::string>, detail::region_targets> unkeyed;
    for (const auto& [id, target] : state.targets) {
        const auto kind = state.config.services.find(target->entry.service);
        if (kind == state.config.services.end() || !can_send_to(state, *target, now)) {
            continue;
        }
        if (kind->second.keyed) {
            detail::add_rates(plan, input, id, *target);
        } else if (is_used_by_any_route(state, target->entry)) {
            auto& in =
                unkeyed[{target->entry.service,
                         std::string(region_of(state.regions, target->entry.failure_domain))}];
            in.capacity += capacity_of(state, *target);
            in.slots += target->entry.slots;
            in.targets.push_back({id, 0});
        }
    }
    for (auto& [place, in] : unkeyed) {
        detail::add_places(plan, input, place.first, place.second, in);
    }
    return plan;
}

}  // namespace mimosavalve::gateway
