#include "mimosavalve/traffic/routing_decision.hpp"

#include <algorithm>
#include <optional>

namespace mimosavalve::traffic {

namespace detail {

/// Owner of a key and the fence under which the key is assigned to it.
struct key_owner {
    std::string_view owner;
    version fence;
    bool active = false;
};

bool is_permitted_in(const config::account_config& account, std::string_view region) {
    const auto& home_regions = account.home_regions;
    return home_regions.empty() ||
           std::find(home_regions.begin(), home_regions.end(), region) != home_regions.end();
}

/// Regions in which the keys of an account may have owners.
std::span<const std::string> regions_of(const routing_table& table,
                                        const config::account_config& account) {
    return account.home_regions.empty() ? std::span<const std::string>(table.regions)
                                        : std::span<const std::string>(account.home_regions);
}

/// First region that is permitted for both accounts, or empty.
std::string_view common_region(const routing_table& table, const config::account_config& owner,
                               const config::account_config& caller) {
    const auto regions = regions_of(table, owner);
    const auto found = std::find_if(regions.begin(), regions.end(), [&](const std::string& region) {
        return is_permitted_in(caller, region);
    });
    return found == regions.end() ? std::string_view{} : std::string_view{*found};
}

const config::account_config* find_account(const routing_table& table, std::string_view name) {
    const auto found = table.accounts.find(name);
    return found == table.accounts.end() ? nullptr : found->second;
}

bool lacks_idempotency_key(const config::route_config& route, const request_head& head) {
    return route.non_idempotent && head.method == "POST" &&
           (!is_valid_idempotency_key(head.idempotency_key) || !head.idempotency_time_ms);
}

std::optional<key_owner> find_owner(const router::shard_view& shard, const request_head& head,
                                    std::string_view service, ownership::slot_number slot) {
    const auto& state = *shard.state;
    if (!state.hot_keys.empty()) {
        std::string key;
        key.append(head.account).append("/").append(head.id);
        if (const auto* hot = ownership::find_hot_key(state, service, key)) {
            return key_owner{hot->owner, hot->fence, router::is_active(*hot, shard.activated)};
        }
    }
    if (const auto* assignment = ownership::find_assignment(state, service, slot)) {
        return key_owner{assignment->owner, assignment->fence,
                         router::is_active(*assignment, shard.activated)};
    }
    return std::nullopt;
}

bool is_config_behind(const routing_table& table, const router::shard_view& shard) {
    return table.snapshot->config->version < shard.state->config_version;
}

bool has_serving_lease(const router::shard_view& shard, steady_time now) {
    return shard.serving_lease != nullptr && now < shard.serving_lease->until();
}

routing_decision decide_in_shard(const routing_table& table, const route_entry& route,
                                 const request_head& head, const router::shard_view& shard,
                                 ownership::slot_number slot, steady_time now) {
    if (is_config_behind(table, shard)) {
        return refuse{&route, refusal_reason::config_behind, {}};
    }
    const auto owner = find_owner(shard, head, route.service->config->name, slot);
    if (!owner || owner->owner.empty()) {
        return refuse{&route, refusal_reason::no_owner, {}};
    }
    if (!owner->active) {
        return defer{&route, refusal_reason::handover};
    }
    const auto* target = ownership::find_target(*shard.state, owner->owner);
    if (target == nullptr || target->condition == ownership::target_condition::lost) {
        return refuse{&route, refusal_reason::no_target, {}};
    }
    if (!has_serving_lease(shard, now)) {
        return defer{&route, refusal_reason::no_serving_lease};
    }
    return send_to{&route, target, &shard, owner->fence, slot, true};
}

routing_decision decide_keyed(const routing_table& table, const route_entry& route,
                              const request_head& head, std::string_view region, steady_time now) {
    const auto& service = *route.service->config;
    const auto slot =
        ownership::slot_of(service.name, head.account, head.id, service.slots_per_region);
    const auto index = ownership::shard_of(slot, service.slots_per_region,
                                           table.snapshot->config->shards_per_region);
    const auto* shard = router::find_shard(*table.snapshot, shard_id{std::string(region), index});
    if (shard != nullptr) {
        return decide_in_shard(table, route, head, *shard, slot, now);
    }
    if (region != table.snapshot->own_region) {
        return refuse{&route, refusal_reason::wrong_region, region};
    }
    return refuse{&route, refusal_reason::no_owner, {}};
}

/// A serving lease is required although keys of an unkeyed service have no owner: it proves that
/// the router has the newest configuration and so respects removed domains and moved home regions.
routing_decision decide_unkeyed(const routing_table& table, const route_entry& route,
                                steady_time now, const target_chooser& choose) {
    const std::span<const unkeyed_target> candidates(route.service->candidates);
    if (candidates.empty()) {
        return refuse{&route, refusal_reason::no_target, {}};
    }
    const auto* chosen = choose ? choose(candidates) : &candidates.front();
    if (chosen == nullptr) {
        return refuse{&route, refusal_reason::overloaded, {}};
    }
    if (is_config_behind(table, *chosen->shard)) {
        return refuse{&route, refusal_reason::config_behind, {}};
    }
    if (!has_serving_lease(*chosen->shard, now)) {
        return defer{&route, refusal_reason::no_serving_lease};
    }
    return send_to{&route, chosen->target, chosen->shard, chosen->shard->state->at, 0, false};
}

/// Region that must serve the request. An unkeyed request may be served in any permitted region. If
/// it needs an idempotency key, all its attempts go to one region, where the key is claimed.
std::string_view serving_region(const routing_table& table, const route_entry& route,
                                const request_head& head, const config::account_config& account,
                                const config::account_config& caller) {
    const auto& service = *route.service->config;
    const auto regions = regions_of(table, account);
    if (service.keyed) {
        return ownership::region_of(service.name, head.account, head.id, regions);
    }
    if (route.config->non_idempotent && head.method == "POST") {
        return ownership::region_of(service.name, head.account, head.idempotency_key, regions);
    }
    const auto& own = table.snapshot->own_region;
    const bool is_permitted_here = is_permitted_in(account, own) && is_permitted_in(caller, own);
    return is_permitted_here ? std::string_view{own} : common_region(table, account, caller);
}

}  // namespace detail

routing_decision decide(const routing_table& table, const request_head& head, steady_time now,
                        const target_chooser& choose) {
    const auto found = table.routes.find(head.route);
    if (found == table.routes.end()) {
        return refuse{nullptr, refusal_reason::unknown_route, {}};
    }
    const auto& route = found->second;
    const auto* account = detail::find_account(table, head.account);
    const auto* caller = detail::find_account(table, head.calling_account);
    if (account == nullptr || caller == nullptr) {
        return refuse{&route, refusal_reason::unknown_account, {}};
    }
    // Until every router has received the change, the account's keys could have owners in two
    // regions.
    if (account->home_moving || caller->home_moving) {
        return refuse{&route, refusal_reason::home_moving, {}};
    }
    const auto& service = *route.service->config;
    if (service.keyed && (head.id.empty() || service.slots_per_region == 0)) {
        return refuse{&route, refusal_reason::bad_request, {}};
    }
    if (detail::lacks_idempotency_key(*route.config, head)) {
        return refuse{&route, refusal_reason::missing_idempotency_key, {}};
    }
    const auto region = detail::serving_region(table, route, head, *account, *caller);
    if (region.empty() || !detail::is_permitted_in(*caller, region)) {
        return refuse{&route, refusal_reason::no_home_region, {}};
    }
    const auto& own = table.snapshot->own_region;
    const bool permitted_here =
        detail::is_permitted_in(*account, own) && detail::is_permitted_in(*caller, own);
    if (!permitted_here || (!service.keyed && region != own)) {
        return refuse{&route, refusal_reason::wrong_region, region};
    }
    return service.keyed ? detail::decide_keyed(table, route, head, region, now)
                         : detail::decide_unkeyed(table, route, now, choose);
}

shard_id claim_shard_of(const routing_table& table, const send_to& decision,
                        const request_head& head) {
    if (decision.keyed) {
        return decision.shard->state->shard;
    }
    const auto shards = std::max<std::uint32_t>(1, table.snapshot->config->shards_per_region);
    const auto index = ownership::hash_of(head.idempotency_key) % shards;
    return {table.snapshot->own_region, static_cast<std::uint32_t>(index)};
}

}  // namespace mimosavalve::traffic
