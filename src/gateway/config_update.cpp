#include "mimosavalve/gateway/config_update.hpp"

#include <algorithm>
#include <set>

namespace mimosavalve::gateway {

namespace detail {

// Bounds of the memory of a history. A router that is further behind gets all routes.
constexpr std::size_t max_changes = 32;
constexpr std::size_t max_changed_routes = 4096;

std::map<std::string, const route*> routes_by_key(const std::vector<route>& routes) {
    std::map<std::string, const route*> out;
    for (const auto& each : routes) {
        out.emplace(key_of(each), &each);
    }
    return out;
}

// Replaces or adds `changed` among `routes`, and removes those with the keys `removed`.
std::vector<route> with_changes(std::vector<route> routes, const std::vector<route>& changed,
                                const std::vector<std::string>& removed) {
    const auto replaced = routes_by_key(changed);
    const std::set<std::string> dropped(removed.begin(), removed.end());
    std::erase_if(routes, [&](const route& each) {
        const auto key = key_of(each);
        return replaced.contains(key) || dropped.contains(key);
    });
    routes.insert(routes.end(), changed.begin(), changed.end());
    return routes;
}

}  // namespace detail

std::string key_of(const route& identified) {
    return normalized_host(identified.host) + identified.prefix;
}

config_update whole_update(const operator_config& config) {
    return {true, 0, config.version, config.routes, {}, config.services, config.limits};
}

config_update difference(const operator_config& before, const operator_config& after) {
    config_update update;
    update.from_version = before.version;
    update.version = after.version;
    update.services = after.services;
    update.limits = after.limits;
    auto previous = detail::routes_by_key(before.routes);
    for (const auto& each : after.routes) {
        const auto found = previous.find(key_of(each));
        if (found == previous.end()) {
            update.routes.push_back(each);
            continue;
        }
        if (*found->second != each) {
            update.routes.push_back(each);
        }
        previous.erase(found);
    }
    for (const auto& [key, missing] : previous) {
        update.removed.push_back(key);
    }
    return update;
}

config_update merged(config_update first, const config_update& second) {
    if (second.whole) {
        return second;
    }
    auto removed = std::move(first.removed);
    const auto restored = detail::routes_by_key(second.routes);
    std::erase_if(removed, [&](const std::string& key) { return restored.contains(key); });
    removed.insert(removed.end(), second.removed.begin(), second.removed.end());
    first.routes = detail::with_changes(std::move(first.routes), second.routes, second.removed);
    first.removed = first.whole ? std::vector<std::string>() : std::move(removed);
    first.version = second.version;
    first.services = second.services;
    first.limits = second.limits;
    return first;
}

std::optional<operator_config> applied(const operator_config& config, const config_update& update) {
    if (!update.whole && update.from_version != config.version) {
        return std::nullopt;
    }
    operator_config next;
    next.version = update.version;
    next.services = update.services;
    next.limits = update.limits;
    next.routes = update.whole ? update.routes
                               : detail::with_changes(config.routes, update.routes, update.removed);
    return next;
}

void config_history::add(config_update change) {
    if (change.whole || (!changes_.empty() && changes_.back().version != change.from_version)) {
        changes_.clear();
        route_count_ = 0;
    }
    if (change.whole) {
        return;
    }
    route_count_ += change.routes.size();
    changes_.push_back(std::move(change));
    while (changes_.size() > detail::max_changes || route_count_ > detail::max_changed_routes) {
        route_count_ -= changes_.front().routes.size();
        changes_.pop_front();
    }
}

std::optional<config_update> config_history::since(std::uint64_t version) const {
    auto next = std::find_if(changes_.begin(), changes_.end(), [&](const config_update& change) {
        return change.from_version == version;
    });
    if (next == changes_.end()) {
        return std::nullopt;
    }
    auto update = *next;
    while (++next != changes_.end()) {
        update = merged(std::move(update), *next);
    }
    return update;
}

}  // namespace mimosavalve::gateway
