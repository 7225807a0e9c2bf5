#include "mimosavalve/gateway/quota_allocation.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace mimosavalve::gateway {

namespace detail {

// Time constant of the decay of demand, in seconds: callers open and close connections, so that
// demand shifts between routers within seconds.
constexpr double demand_time_s = 1.0;
constexpr double negligible_demand = 0.01;
// Requests per second added to each router's demand, since any router may get requests at any
// time.
constexpr double added_demand = 0.2;
// Additional concurrency for each router with a quota at a busy service: one request in transit,
// and most of a second one that waits at the target (docs/platform.md, "Concurrency quotas").
constexpr double spare_concurrency = 1.75;
// Concurrency limit per slot of an idle service.
constexpr double idle_concurrency = 3;
// Fraction of its capacity up to which a service is idle, and from which it is busy.
constexpr double idle_utilization = 0.5;
constexpr double busy_utilization = 0.85;
// Rates are limited when the demand reaches `hot_fraction` of an owner's capacity. Their sum is
// `allocated_fraction` of it: an owner kept just below its capacity has a short queue.
constexpr double hot_fraction = 0.7;
constexpr double allocated_fraction = 0.95;

double rate_at(const demand_rates::rate& rate, boot_time now) {
    const auto passed = std::chrono::duration<double>(now - rate.updated_at).count();
    return rate.per_second * std::exp(-std::max(passed, 0.0) / demand_time_s);
}

}  // namespace detail

void record_demand(demand_rates& rates, const std::string& destination, const std::string& router,
                   std::uint32_t requests, boot_time now) {
    auto& rate = rates.by_destination[destination][router];
    rate.per_second = detail::rate_at(rate, now) + requests / detail::demand_time_s;
    rate.updated_at = now;
}

double demand_of(const demand_rates& rates, const std::string& destination,
                 const std::string& router, boot_time now) {
    const auto known = rates.by_destination.find(destination);
    if (known == rates.by_destination.end()) {
        return 0;
    }
    const auto found = known->second.find(router);
    return found == known->second.end() ? 0 : detail::rate_at(found->second, now);
}

std::string demand_destination(const std::string& service,
                               const std::vector<std::string>& home_regions) {
    auto destination = service;
    for (const auto& region : home_regions) {
        destination += "\n" + region;
    }
    return destination;
}

double total_demand_of(const demand_rates& rates, const std::string& destination, boot_time now) {
    const auto known = rates.by_destination.find(destination);
    if (known == rates.by_destination.end()) {
        return 0;
    }
    return std::accumulate(
        known->second.begin(), known->second.end(), 0.0,
        [&](double sum, const auto& each) { return sum + detail::rate_at(each.second, now); });
}

service_destinations destinations_of(const routing_state& state, const std::string& service,
                                     boot_time now) {
    service_destinations out;
    for (const auto* target : targets_of(state, service)) {
        if (can_send_to(state, *target, now)) {
            out.served_regions.emplace(region_of(state.regions, target->entry.failure_domain));
        }
    }
    std::set<std::string> counted;
    for (const auto& route : state.config.routes) {
        const bool uses = std::any_of(
            route.services.begin(), route.services.end(),
            [&](const auto& part) { return part.service == service && part.weight > 0; });
        auto name = uses ? demand_destination(service, route.home_regions) : std::string();
        if (uses && counted.insert(name).second) {
            out.destinations.push_back({std::move(name), route.home_regions});
        }
    }
    return out;
}

region_demand demand_in_region(const demand_rates& rates, const service_destinations& service,
                               const std::string& region, const std::string& router,
                               const std::string& own_region, boot_time now) {
    region_demand out;
    for (const auto& [name, home_regions] : service.destinations) {
        const auto rate = demand_of(rates, name, router, now);
        if (home_regions.empty()) {
            if (region == own_region || !service.served_regions.contains(own_region)) {
                out.may_use = true;
                out.per_second += rate;
            }
            continue;
        }
        const auto home_count =
            std::count_if(home_regions.begin(), home_regions.end(),
                          [&](const auto& home) { return service.served_regions.contains(home); });
        if (std::find(home_regions.begin(), home_regions.end(), region) != home_regions.end() &&
            home_count > 0) {
            out.may_use = true;
            out.per_second += rate / static_cast<double>(home_count);
        }
    }
    return out;
}

void expire_demand(demand_rates& rates, boot_time now) {
    for (auto& [destination, routers] : rates.by_destination) {
        std::erase_if(routers, [&](const auto& item) {
            return detail::rate_at(item.second, now) < detail::negligible_demand;
        });
    }
    std::erase_if(rates.by_destination, [](const auto& item) { return item.second.empty(); });
}

std::uint32_t fleet_concurrency_limit(const target_entry& target, double utilization,
                                      double routers_per_slot) {
    const double busy = std::clamp((utilization - detail::idle_utilization) /
                                       (detail::busy_utilization - detail::idle_utilization),
                                   0.0, 1.0);
    const double when_busy = 1 + detail::spare_concurrency * routers_per_slot;
    const double when_idle = std::max(detail::idle_concurrency, when_busy);
    const double per_slot = when_idle + (when_busy - when_idle) * busy;
    return static_cast<std::uint32_t>(std::ceil(target.slots * per_slot));
}

quotas_by_host allocate_concurrency(const std::vector<quota_target>& targets,
                                    const std::vector<router_demand>& routers) {
    quotas_by_host quotas;
    // Each entry stands for one request at a target. Neighbouring entries are of different
    // targets, so that each router gets a mix of targets.
    std::vector<const std::string*> target_ids;
    for (std::uint32_t round = 0;; ++round) {
        const auto before = target_ids.size();
        for (const auto& target : targets) {
            if (round < target.concurrency_limit) {
                target_ids.push_back(&target.id);
            }
        }
        if (target_ids.size() == before) {
            break;
        }
    }
    if (target_ids.empty()) {
        return quotas;
    }
    double demand = 0;
    for (const auto& router : routers) {
        demand += router.demand + detail::added_demand;
    }
    std::vector<double> shares;
    double total = 0;
    for (const auto& router : routers) {
        const auto part = static_cast<double>(target_ids.size()) *
                          (router.demand + detail::added_demand) / demand;
        shares.push_back(std::max(std::round(part), 1.0));
        total += shares.back();
    }
    // The routers take turns in proportion to their shares: each request of a router stands at the
    // middle of its part of the sequence.
    std::vector<std::pair<double, std::size_t>> turns;
    turns.reserve(static_cast<std::size_t>(total));
    for (std::size_t index = 0; index < routers.size(); ++index) {
        for (double turn = 0; turn < shares[index]; ++turn) {
            turns.emplace_back((turn + 0.5) / shares[index], index);
        }
    }
    std::sort(turns.begin(), turns.end());
    for (std::size_t step = 0; step < turns.size(); ++step) {
        ++quotas[routers[turns[step].second].host][*target_ids[step % target_ids.size()]];
    }
    return quotas;
}

bool is_rate_limited(double capacity, double demand) {
    return demand >= capacity * detail::hot_fraction;
}

std::map<std::string, double> allocate_rates(double capacity,
                                             const std::vector<router_demand>& routers) {
    std::map<std::string, double> quotas;
    double demand = 0;
    for (const auto& router : routers) {
        demand += router.demand;
    }
    if (!is_rate_limited(capacity, demand)) {
        return quotas;
    }
    demand += detail::added_demand * static_cast<double>(routers.size());
    for (const auto& router : routers) {
        quotas[router.host] =
            capacity * detail::allocated_fraction * (router.demand + detail::added_demand) / demand;
    }
    return quotas;
}

}  // namespace mimosavalve::gateway
