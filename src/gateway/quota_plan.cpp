#include "mimosavalve/gateway/quota_plan.hpp"

#include <algorithm>
#include <numeric>
#include <set>
#include <utility>

namespace mimosavalve::gateway {

namespace detail {

struct quota_input {
    const routing_state& state;
    const demand_rates& demand;
    const std::map<std::string, std::string>& routers;
    boot_time now;
};

void add_rates(quota_plan& plan, const quota_input& input, const std::string& id,
               const target_state& target) {
    const auto capacity = capacity_of(input.state, target);
    if (!is_rate_limited(capacity, total_demand_of(input.demand, id, input.now))) {
        return;
    }
    std::vector<router_demand> demands;
    demands.reserve(input.routers.size());
    for (const auto& [host, domain] : input.routers) {
        demands.push_back({host, demand_of(input.demand, id, host, input.now)});
    }
    for (const auto& [host, rate] : allocate_rates(capacity, demands)) {
        plan.rates[host].emplace(id, rate);
    }
}

struct target_group {
    std::vector<quota_target> targets;
    double capacity = 0;
    double slots = 0;
};

struct region_targets : target_group {
    std::map<std::string, target_group> by_domain;
};

std::vector<router_demand> demands_of(const quota_input& input, const service_destinations& service,
                                      const std::string& region) {
    std::vector<router_demand> demands;
    for (const auto& [host, domain] : input.routers) {
        const auto wanted =
            demand_in_region(input.demand, service, region, host,
                             std::string(region_of(input.state.regions, domain)), input.now);
        if (wanted.may_use) {
            demands.push_back({host, wanted.per_second});
        }
    }
    return demands;
}

double sum_of(const std::vector<router_demand>& demands) {
    return std::accumulate(demands.begin(), demands.end(), 0.0,
                           [](double sum, const auto& router) { return sum + router.demand; });
}

// The demand of all routers, as that of the dispatchers that send their requests.
std::vector<router_demand> demands_at(const std::vector<dispatch_candidate>& dispatchers,
                                      double demand) {
    std::vector<router_demand> demands;
    demands.reserve(dispatchers.size());
    for (const auto& each : dispatchers) {
        demands.push_back({each.host, demand / static_cast<double>(dispatchers.size())});
    }
    return demands;
}

void add_concurrency(quota_plan& plan, const quota_input& input, target_group& group,
                     const std::vector<router_demand>& demands) {
    const auto demand = sum_of(demands);
    const auto routers_per_slot = static_cast<double>(demands.size()) / group.slots;
    for (auto& target : group.targets) {
        target.concurrency_limit =
            fleet_concurrency_limit(input.state.targets.find(target.id)->second->entry,
                                    demand / group.capacity, routers_per_slot);
    }
    for (const auto& [host, quotas] : allocate_concurrency(group.targets, demands)) {
        plan.concurrency[host].insert(quotas.begin(), quotas.end());
    }
}

// Whether any requests for a service are forwarded to dispatchers; uploads and downloads are not.
bool is_forwarded(const routing_state& state, const std::string& service) {
    return std::any_of(
        state.config.routes.begin(), state.config.routes.end(), [&](const route& each) {
            return each.kind != request_kind::upload && each.kind != request_kind::download &&
                   std::any_of(each.services.begin(), each.services.end(), [&](const auto& part) {
                       return part.service == service && part.weight > 0;
                   });
        });
}

void add_target(target_group& group, const routing_state& state, const target_state& target) {
    group.capacity += capacity_of(state, target);
    group.slots += target.entry.slots;
    group.targets.push_back({target.entry.id, 0});
}

}  // namespace detail

std::uint32_t sharing_router_count(std::uint32_t known_routers, milliseconds leading_for) {
    return leading_for < first_calls_time ? std::max(known_routers, assumed_router_count)
                                          : known_routers;
}

quota_plan plan_quotas(const routing_state& state, const demand_rates& demand,
                       const std::map<std::string, std::string>& routers, dispatch_state& dispatch,
                       boot_time now, bool is_demand_complete) {
    quota_plan plan;
    dispatcher_map named;
    const detail::quota_input input{state, demand, routers, now};
    std::map<std::pair<std::string, std::string>, detail::region_targets> unkeyed_targets;
    for (const auto& [id, target] : state.targets) {
        const auto kind = state.config.services.find(target->entry.service);
        if (kind == state.config.services.end() || !can_send_to(state, *target, now) ||
            has_request_limit(state, target->entry, now)) {
            continue;
        }
        if (kind->second.keyed) {
            detail::add_rates(plan, input, id, *target);
        } else if (is_used_by_any_route(state, target->entry)) {
            auto& group = unkeyed_targets[{
                target->entry.service,
                std::string(region_of(state.regions, target->entry.failure_domain))}];
            detail::add_target(group, state, *target);
            detail::add_target(group.by_domain[target->entry.failure_domain], state, *target);
        }
    }
    // By service and region.
    std::map<std::pair<std::string, std::string>, std::vector<router_demand>> wanted;
    std::map<std::string, service_destinations> destinations;
    std::set<std::string, std::less<>> forwarded_services;
    for (auto& [service_and_region, group] : unkeyed_targets) {
        const auto& [service, region] = service_and_region;
        const auto [known, is_new] = destinations.try_emplace(service);
        if (is_new) {
            known->second = destinations_of(state, service, now);
            if (detail::is_forwarded(state, service)) {
                forwarded_services.insert(service);
            }
        }
        auto& demands = wanted[service_and_region];
        demands = detail::demands_of(input, known->second, region);
        const auto asked = detail::sum_of(demands);
        const auto destination = region_destination(service, region);
        plan_dispatchers(named, dispatch.named,
                         {destination, region, group.slots, group.capacity, asked, demands.size(),
                          forwarded_services.contains(service), dispatch.is_settling},
                         dispatch.candidates);
        if (const auto dispatchers = named.find(destination); dispatchers != named.end()) {
            demands = detail::demands_at(dispatchers->second, asked);
        }
    }
    if (is_demand_complete) {
        for (const auto& [service, known] : destinations) {
            plan.overflow.emplace(
                service, plan_service_overflow({state, demand, routers, named, now}, service));
        }
    }
    for (auto& [service_and_region, group] : unkeyed_targets) {
        const auto overflow = plan.overflow.find(service_and_region.first);
        if (overflow == plan.overflow.end() || !overflow->second.is_in_effect) {
            detail::add_concurrency(plan, input, group, wanted[service_and_region]);
            continue;
        }
        for (auto& [domain, targets] : group.by_domain) {
            detail::add_concurrency(plan, input, targets,
                                    demands_in_domain(overflow->second, domain));
        }
    }
    dispatch.named = std::move(named);
    return plan;
}

}  // namespace mimosavalve::gateway
