#include "mimosavalve/traffic/routing_table.hpp"

#include <algorithm>

namespace mimosavalve::traffic {

namespace detail {

bool contains(const std::vector<std::string>& names, std::string_view name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool can_accept_requests(const config::fleet_config& config, const ownership::target& target) {
    return target.condition == ownership::target_condition::active &&
           !contains(config.removed_domains, target.failure_domain) &&
           !contains(config.drained_targets, target.id);
}

void add_candidate(service_entry& service, const unkeyed_target& candidate) {
    const bool is_listed = std::any_of(
        service.candidates.begin(), service.candidates.end(),
        [&](const unkeyed_target& other) { return other.target->id == candidate.target->id; });
    if (!is_listed) {
        service.candidates.push_back(candidate);
    }
}

void add_candidates(routing_table& table, const router::shard_view& shard) {
    for (const auto& target : shard.state->targets) {
        const auto service = table.services.find(target.service);
        const bool is_usable = service != table.services.end() && !service->second.config->keyed &&
                               can_accept_requests(*table.snapshot->config, target);
        if (is_usable) {
            add_candidate(service->second, {&target, &shard});
        }
    }
}

}  // namespace detail

std::shared_ptr<const routing_table> build_routing_table(
    std::shared_ptr<const router::routing_snapshot> snapshot) {
    auto table = std::make_shared<routing_table>();
    table->snapshot = std::move(snapshot);
    const auto& config = *table->snapshot->config;
    for (const auto& service : config.services) {
        table->services.emplace(service.name, service_entry{&service, {}});
    }
    for (const auto& route : config.routes) {
        const auto service = table->services.find(route.service);
        if (service != table->services.end()) {
            table->routes.emplace(route.name, route_entry{&route, &service->second});
        }
    }
    for (const auto& account : config.accounts) {
        table->accounts.emplace(account.name, &account);
    }
    for (const auto& region : config.regions) {
        table->regions.push_back(region.name);
    }
    for (const auto& shard : table->snapshot->shards) {
        if (shard.state->shard.region == table->snapshot->own_region) {
            detail::add_candidates(*table, shard);
        }
    }
    return table;
}

}  // namespace mimosavalve::traffic
