#include "mimosavalve/gateway/quota_allocation.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace mimosavalve::gateway {

namespace detail {

// Demand moves between routers within seconds, as callers open and close connections.
constexpr double demand_time_s = 1.0;
constexpr double negligible_demand = 0.01;
// Every router may have some demand at any moment.
constexpr double least_demand = 0.2;
// Spare places of each router that borrows from a busy service: one that is on its way, and most of
// a second one that waits at the target (docs/platform.md, "Places").
constexpr double spare_places = 1.75;
// Places per slot of an idle service, and the use at which a service is busy and idle.
constexpr double idle_places = 3;
constexpr double busy_use = 0.85;
constexpr double idle_use = 0.5;
// Rates are lent from this part of an owner's capacity on, and up to this part of it: an owner
// that is kept just below its capacity has a short queue.
constexpr double hot_part = 0.7;
constexpr double lent_part = 0.95;

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

std::string demand_destination(const std::string& service, const std::vector<std::string>& homes) {
    auto destination = service;
    for (const auto& region : homes) {
        destination += "\n" + region;
    }
    return destination;
}

region_demand demand_in_region(const demand_rates& rates, const routing_state& state,
                               const std::string& service, const std::string& region,
                               const std::string& router, const std::string& own_region,
                               boot_time now) {
    std::set<std::string> served;
    for (const auto& [id, target] : state.targets) {
        if (target->entry.service == service && can_send_to(state, *target, now)) {
            served.emplace(region_of(state.regions, target->entry.failure_domain));
        }
    }
    region_demand out;
    std::set<std::string> counted;
    for (const auto& on : state.config.routes) {
        const bool uses = std::any_of(
            on.services.begin(), on.services.end(),
            [&](const auto& part) { return part.service == service && part.weight > 0; });
        const auto destination = demand_destination(service, on.home_regions);
        if (!uses || !counted.insert(destination).second) {
            continue;
        }
        const auto rate = demand_of(rates, destination, router, now);
        if (on.home_regions.empty()) {
            if (region == own_region || !served.contains(own_region)) {
                out.may_use = true;
                out.per_second += rate;
            }
            continue;
        }
        const auto homes = std::count_if(on.home_regions.begin(), on.home_regions.end(),
                                         [&](const auto& home) { return served.contains(home); });
        if (std::find(on.home_regions.begin(), on.home_regions.end(), region) !=
                on.home_regions.end() &&
            homes > 0) {
            out.may_use = true;
            out.per_second += rate / static_cast<double>(homes);
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

std::uint32_t concurrency_limit_of(const target_entry& target, double use,
                                   double routers_per_slot) {
    const double busy =
        std::clamp((use - detail::idle_use) / (detail::busy_use - detail::idle_use), 0.0, 1.0);
    const double when_busy = 1 + detail::spare_places * routers_per_slot;
    const double when_idle = std::max(detail::idle_places, when_busy);
    const double per_slot = when_idle + (when_busy - when_idle) * busy;
    return static_cast<std::uint32_t>(std::ceil(target.slots * per_slot));
}

concurrency_quotas allocate_concurrency(const std::vector<quota_target>& targets,
                                        const std::vector<router_demand>& routers) {
    concurrency_quotas lent;
    // Neighbours in this list are places of different targets, so that each router gets a mix.
    std::vector<const std::string*> places;
    for (std::uint32_t round = 0;; ++round) {
        const auto before = places.size();
        for (const auto& target : targets) {
            if (round < target.concurrency_limit) {
                places.push_back(&target.id);
            }
        }
        if (places.size() == before) {
            break;
        }
    }
    if (places.empty()) {
        return lent;
    }
    double demand = 0;
    for (const auto& router : routers) {
        demand += router.demand + detail::least_demand;
    }
    std::vector<double> shares;
    double total = 0;
    for (const auto& router : routers) {
        const auto part =
            static_cast<double>(places.size()) * (router.demand + detail::least_demand) / demand;
        shares.push_back(std::max(std::round(part), 1.0));
        total += shares.back();
    }
    // The routers take turns in proportion to their shares.
    std::vector<double> given(routers.size(), 0);
    for (std::size_t step = 0; step < static_cast<std::size_t>(total); ++step) {
        std::size_t next = 0;
        double most = -1;
        for (std::size_t at = 0; at < routers.size(); ++at) {
            const auto due = shares[at] * static_cast<double>(step + 1) / total - given[at];
            if (given[at] < shares[at] && due > most) {
                most = due;
                next = at;
            }
        }
        given[next] += 1;
        ++lent[routers[next].host][*places[step % places.size()]];
    }
    return lent;
}

std::map<std::string, double> allocate_rates(double capacity,
                                             const std::vector<router_demand>& routers) {
    std::map<std::string, double> lent;
    double demand = 0;
    for (const auto& router : routers) {
        demand += router.demand;
    }
    if (demand < capacity * detail::hot_part) {
        return lent;
    }
    demand += detail::least_demand * static_cast<double>(routers.size());
    for (const auto& router : routers) {
        lent[router.host] =
            capacity * detail::lent_part * (router.demand + detail::least_demand) / demand;
    }
    return lent;
}

}  // namespace mimosavalve::gateway
