#include "mimosavalve/gateway/target_table.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace mimosavalve::gateway {

namespace detail {

// Share of a target's connections that routers use together; the rest is for probes and orders.
constexpr double connection_share = 0.9;
// Requests at a target per slot: one runs, and a part waits so that no slot is ever idle.
constexpr double requests_per_slot = 1.5;
// Failures in a row after which a target without keys is avoided, and for how long.
constexpr std::uint32_t failures_to_avoid = 2;
constexpr milliseconds avoid_time{1000};
// A load report describes the target for about the time of one request.
constexpr milliseconds load_report_life{400};
// Expected wait that a hop to another region or failure domain costs, in requests per slot.
constexpr double region_cost = 0.6;
constexpr double domain_cost = 0.05;
// A running mean over about ten answers.
constexpr double latency_weight = 0.1;
constexpr milliseconds one_second{1000};

double expected_wait(const routing_state& state, const target_state& target, boot_time now) {
    const double slots = std::max(target.entry.slots, 1U);
    double others = 0;
    double slowness = 1;
    if (now - target.load_at < load_report_life) {
        const auto at_target = static_cast<double>(target.load.running + target.load.waiting);
        others = std::max(at_target - static_cast<double>(target.running), 0.0);
        slowness = std::max(target.load.slowness, 0.1);
    }
    double wait = (static_cast<double>(target.running) + others + 1) * slowness / slots;
    if (target.entry.failure_domain != state.own_domain) {
        const auto region = state.regions.find(target.entry.failure_domain);
        const bool same_region = region != state.regions.end() && region->second == state.own_region;
        wait += same_region ? domain_cost : region_cost;
    }
    return wait;
}

// Router's own share of the requests that a cold target bears in one second.
double cold_share(const routing_state& state, const service& kind) {
    const auto limit =
        kind.cold_requests_per_second * state.bounds.cold_factor + state.bounds.cold_extra;
    return share_of(limit, state.routers, state.rank);
}

target_choice choose_owner(routing_state& state, const choice_request& request, const service& kind,
                           boot_time now) {
    const auto map = state.keys.find(request.service);
    if (map == state.keys.end()) {
        return {choice_kind::wait_for_owner, nullptr};
    }
    const auto& segment = segment_of(map->second, *request.key);
    if (segment.moving || segment.owner.empty()) {
        return {choice_kind::wait_for_owner, nullptr};
    }
    const auto found = state.targets.find(segment.owner);
    if (found == state.targets.end() || found->second->entry.service != request.service ||
        !may_send(state, *found->second, now) ||
        !is_at_home(state, found->second->entry, *request.on)) {
        return {choice_kind::wait_for_owner, nullptr};
    }
    auto& target = *found->second;
    if (target.running >= window_of(state, target, kind)) {
        return {choice_kind::wait_for_room, &target};
    }
    if (is_cold(target, now) && !pass(target.cold_gate, cold_share(state, kind), one_second, now)) {
        return {choice_kind::wait_for_room, &target};
    }
    return {choice_kind::target, &target};
}

}  // namespace detail

std::vector<std::unique_ptr<target_state>> update_targets(routing_state& state, boot_time now) {
    std::vector<std::unique_ptr<target_state>> removed;
    for (auto at = state.targets.begin(); at != state.targets.end();) {
        const auto found = state.registry.targets.find(at->first);
        const bool same = found != state.registry.targets.end() &&
                          found->second.started_unix_ms == at->second->entry.started_unix_ms &&
                          found->second.address == at->second->entry.address;
        if (same) {
            ++at;
        } else {
            removed.push_back(std::move(at->second));
            at = state.targets.erase(at);
        }
    }
    for (const auto& [id, entry] : state.registry.targets) {
        auto& target = state.targets[id];
        if (!target) {
            target = std::make_unique<target_state>();
        }
        // The entry tells the cold time that was left when it was written.
        if (entry.cold_left_ms > 0 && entry.sequence != target->entry.sequence) {
            target->cold_until = std::max(target->cold_until, now + milliseconds(entry.cold_left_ms));
        }
        target->entry = entry;
    }
    return removed;
}

void note_load(target_state& target, const target_load& load, boot_time now) {
    target.load = load;
    target.load_at = now;
}

void note_success(target_state& target, milliseconds latency) {
    target.failures = 0;
    target.avoid_until = {};
    const auto value = static_cast<double>(latency.count());
    target.latency_ms = target.latency_ms == 0
                            ? value
                            : target.latency_ms + (value - target.latency_ms) * detail::latency_weight;
}

void note_failure(target_state& target, boot_time now) {
    ++target.failures;
    if (target.failures >= detail::failures_to_avoid) {
        target.avoid_until = now + detail::avoid_time;
    }
}

bool is_cold(const target_state& target, boot_time now) { return now < target.cold_until; }

bool is_at_home(const routing_state& state, const target_entry& target, const route& on) {
    if (on.home_regions.empty()) {
        return true;
    }
    const auto region = state.regions.find(target.failure_domain);
    return region != state.regions.end() &&
           std::find(on.home_regions.begin(), on.home_regions.end(), region->second) !=
               on.home_regions.end();
}

bool may_send(const routing_state& state, const target_state& target, boot_time /*now*/) {
    return !target.entry.leaving &&
           !state.registry.evacuated_domains.contains(target.entry.failure_domain);
}

std::uint32_t window_of(const routing_state& state, const target_state& target,
                        const service& kind) {
    const auto routers = std::max(state.routers, 1U);
    const auto by_slots = static_cast<std::uint32_t>(
        std::ceil(target.entry.slots * detail::requests_per_slot));
    if (kind.most_connections == 0) {
        return by_slots;
    }
    const auto by_connections = static_cast<std::uint32_t>(
        std::max(kind.most_connections * detail::connection_share / routers, 1.0));
    return std::min(by_slots, by_connections);
}

target_choice choose_target(routing_state& state, const choice_request& request, boot_time now) {
    const auto kind = state.config.services.find(std::string(request.service));
    if (kind == state.config.services.end()) {
        return {};
    }
    if (kind->second.keyed && request.key) {
        return detail::choose_owner(state, request, kind->second, now);
    }
    target_choice best;
    double best_wait = std::numeric_limits<double>::max();
    target_state* cold = nullptr;
    for (auto& [id, target] : state.targets) {
        if (target->entry.service != request.service || !may_send(state, *target, now) ||
            !is_at_home(state, target->entry, *request.on) ||
            std::find(request.tried.begin(), request.tried.end(), id) != request.tried.end()) {
            continue;
        }
        if (target->running >= window_of(state, *target, kind->second) ||
            now < target->avoid_until) {
            best.kind = best.target == nullptr ? choice_kind::wait_for_room : best.kind;
            continue;
        }
        if (is_cold(*target, now)) {
            cold = cold == nullptr || target->running < cold->running ? target.get() : cold;
            continue;
        }
        const auto wait = detail::expected_wait(state, *target, now);
        if (wait < best_wait) {
            best_wait = wait;
            best = {choice_kind::target, target.get()};
        }
    }
    // Cold targets help out when the warm ones are busy, within what they bear.
    const bool busy = best.kind != choice_kind::target || best_wait > 1;
    if (busy && cold != nullptr &&
        pass(cold->cold_gate, detail::cold_share(state, kind->second), detail::one_second, now)) {
        return {choice_kind::target, cold};
    }
    if (cold != nullptr && best.kind == choice_kind::none) {
        best.kind = choice_kind::wait_for_room;
    }
    return best;
}

}  // namespace mimosavalve::gateway
