#include "mimosavalve/gateway/overflow_plan.hpp"

#include <algorithm>

namespace mimosavalve::gateway {

namespace detail {

// Requests per second of a service below which its demand is not known.
constexpr double min_known_demand = 0.1;

// Requests per second that a target runs now; a cold one runs few.
double present_capacity(const routing_state& state, const target_state& target, boot_time now) {
    const auto capacity = capacity_of(state, target);
    const auto kind = state.config.services.find(target.entry.service);
    return is_cold(target, now) && kind != state.config.services.end()
               ? std::min(capacity, std::max(kind->second.cold_requests_per_second, 1.0))
               : capacity;
}

overflow_domain& domain_of(service_overflow& plan, const routing_state& state,
                           const std::string& name) {
    const auto found = std::find_if(plan.domains.begin(), plan.domains.end(),
                                    [&](const auto& each) { return each.name == name; });
    if (found != plan.domains.end()) {
        return *found;
    }
    return plan.domains.emplace_back(
        overflow_domain{name, std::string(region_of(state.regions, name)), 0, {}});
}

const overflow_domain* find_domain(const service_overflow& plan, std::string_view name) {
    const auto found = std::find_if(plan.domains.begin(), plan.domains.end(),
                                    [&](const auto& each) { return each.name == name; });
    return found == plan.domains.end() ? nullptr : &*found;
}

// Whether routers forward requests for a destination to dispatchers. Uploads and downloads are not
// forwarded; the reports do not tell them from other requests for the same destination.
bool is_forwarded(const routing_state& state, const std::string& service,
                  const std::vector<std::string>& home_regions) {
    return std::any_of(
        state.config.routes.begin(), state.config.routes.end(), [&](const route& each) {
            return each.home_regions == home_regions && each.kind != request_kind::upload &&
                   each.kind != request_kind::download &&
                   std::any_of(each.services.begin(), each.services.end(), [&](const auto& part) {
                       return part.service == service && part.weight > 0;
                   });
        });
}

// Dispatchers to which a router of a region forwards requests; null: it sends them itself. The
// order of regions is that of `choose_dispatcher`.
const std::vector<dispatch_candidate>* dispatchers_of(const overflow_input& input,
                                                      const std::string& service,
                                                      const std::vector<std::string>& home_regions,
                                                      const std::string& own_region) {
    auto regions = home_regions.empty() ? std::vector<std::string>{own_region} : home_regions;
    std::stable_partition(regions.begin(), regions.end(),
                          [&](const auto& region) { return region == own_region; });
    for (const auto& region : regions) {
        const auto named = input.dispatchers.find(region_destination(service, region));
        if (named != input.dispatchers.end() && !named->second.empty()) {
            return &named->second;
        }
    }
    return nullptr;
}

void add_senders(service_overflow& plan, const overflow_input& input, const std::string& service,
                 const service_destinations::destination& destination) {
    const bool may_forward =
        !input.dispatchers.empty() && is_forwarded(input.state, service, destination.home_regions);
    // By host; a dispatcher sends the requests of many routers.
    std::map<std::string, double> by_host;
    for (const auto& [host, domain] : input.routers) {
        const auto rate = demand_of(input.demand, destination.name, host, input.now);
        const auto* dispatchers =
            may_forward ? dispatchers_of(input, service, destination.home_regions,
                                         std::string(region_of(input.state.regions, domain)))
                        : nullptr;
        if (dispatchers == nullptr) {
            by_host[host] += rate;
            continue;
        }
        const bool is_dispatcher =
            std::any_of(dispatchers->begin(), dispatchers->end(),
                        [&, &own = host](const auto& each) { return each.host == own; });
        if (is_dispatcher) {
            by_host[host] += rate;
            continue;
        }
        for (const auto& each : *dispatchers) {
            by_host[each.host] += rate / static_cast<double>(dispatchers->size());
        }
    }
    for (const auto& [host, rate] : by_host) {
        const auto router = input.routers.find(host);
        if (router == input.routers.end()) {
            continue;
        }
        const domain_demand demand{destination.home_regions, rate};
        plan.senders.push_back({host, router->second, demand});
        auto& demands = domain_of(plan, input.state, router->second).demands;
        const auto same = std::find_if(demands.begin(), demands.end(), [&](const auto& each) {
            return each.home_regions == demand.home_regions;
        });
        if (same == demands.end()) {
            demands.push_back(demand);
        } else {
            same->per_second += rate;
        }
    }
}

// Part of a sender's requests that goes to a domain.
double part_in_domain(const service_overflow& plan, const sender_demand& sender,
                      const overflow_domain& to) {
    const auto* from = find_domain(plan, sender.domain);
    if (from != nullptr && is_domestic(plan.domains, *from, sender.demand)) {
        return share_between(plan.shares, sender.domain, to.name);
    }
    const auto allows = [&](const overflow_domain& each) {
        const auto& regions = sender.demand.home_regions;
        return regions.empty() ||
               std::find(regions.begin(), regions.end(), each.region) != regions.end();
    };
    double capacity = 0;
    for (const auto& each : plan.domains) {
        capacity += allows(each) ? each.capacity : 0;
    }
    return allows(to) && capacity > 0 ? to.capacity / capacity : 0;
}

}  // namespace detail

service_overflow plan_service_overflow(const overflow_input& input, const std::string& service) {
    service_overflow plan;
    for (const auto* target : targets_of(input.state, service)) {
        if (can_send_to(input.state, *target, input.now)) {
            detail::domain_of(plan, input.state, target->entry.failure_domain).capacity +=
                detail::present_capacity(input.state, *target, input.now);
        }
    }
    const auto served = plan.domains.size();
    double total = 0;
    for (const auto& destination : destinations_of(input.state, service, input.now).destinations) {
        detail::add_senders(plan, input, service, destination);
        total += total_demand_of(input.demand, destination.name, input.now);
    }
    plan.is_in_effect = served > 1 && total >= detail::min_known_demand;
    if (plan.is_in_effect) {
        plan.shares = plan_overflow(plan.domains);
    }
    return plan;
}

std::vector<router_demand> demands_in_domain(const service_overflow& plan,
                                             const std::string& domain) {
    const auto* to = detail::find_domain(plan, domain);
    if (to == nullptr) {
        return {};
    }
    std::map<std::string, double> by_host;
    for (const auto& sender : plan.senders) {
        if (const auto part = detail::part_in_domain(plan, sender, *to); part > 0) {
            by_host[sender.host] += part * sender.demand.per_second;
        }
    }
    std::vector<router_demand> demands;
    demands.reserve(by_host.size());
    for (const auto& [host, rate] : by_host) {
        demands.push_back({host, rate});
    }
    return demands;
}

overflow_by_service shares_of(const std::map<std::string, service_overflow>& plans,
                              const std::string& domain) {
    overflow_by_service shares;
    for (const auto& [service, plan] : plans) {
        const auto* own = detail::find_domain(plan, domain);
        if (!plan.is_in_effect || own == nullptr || own->capacity <= 0) {
            continue;
        }
        const auto known = plan.shares.find(domain);
        shares[service] =
            known == plan.shares.end() ? std::map<std::string, double>() : known->second;
    }
    return shares;
}

}  // namespace mimosavalve::gateway
