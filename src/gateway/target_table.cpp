#include "mimosavalve/gateway/target_table.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace mimosavalve::gateway {

namespace detail {

// Share of a target's connections that routers use together; the rest is for probes and orders.
constexpr double connection_share = 0.9;
// The same while those of former processes may still be open.
constexpr double restarted_connection_share = connection_share / 2;
// Requests that wait at a target, of all routers, so that no slot is idle until the next one comes.
// The way there takes as long for two slots as for four.
constexpr std::uint32_t queued_at_target = 4;
// Failures in a row after which a target without keys is avoided, and for how long.
constexpr std::uint32_t failures_to_avoid = 2;
constexpr milliseconds avoid_time{1000};
// A load report describes the target for about the time of one request.
constexpr milliseconds load_report_life{400};
// Extra time of a hop: a round trip and the transfer. Uploads are some hundred packets.
constexpr double region_cost_ms = 45;
constexpr double domain_cost_ms = 3;
constexpr double upload_region_cost_ms = 2000;
constexpr double upload_domain_cost_ms = 20;
// Two requests at once, after a pause; more would make the target's queue longer than it need be.
constexpr double most_tokens = 2;
// Of each target, for a router that has not heard of the leader yet.
constexpr std::uint32_t places_before_lending = 1;
// A running mean over about ten answers.
constexpr double answer_weight = 0.1;
// Assumed before the first answer.
constexpr double unknown_work_ms = 100;
constexpr milliseconds one_second{1000};

// Measured times of equal targets differ by about this part; a target that is avoided for less
// would never be measured again while the load is light.
constexpr double equal_part = 0.1;

// Requests of everybody at the target, as far as is known.
double requests_at(const target_state& target, boot_time now) {
    const auto own = static_cast<double>(target.running);
    if (now - target.load_received_at >= load_report_life) {
        return own;
    }
    const auto reported = static_cast<double>(target.load.running + target.load.waiting);
    return std::max(own, reported - static_cast<double>(target.own_requests_at_load) + own);
}

// Extra time for the way to the target and back, in ms.
double way_cost(const routing_state& state, const target_state& target, const route& on) {
    if (target.entry.failure_domain == state.own_domain) {
        return 0;
    }
    const bool same_region =
        region_of(state.regions, target.entry.failure_domain) == state.own_region;
    if (on.kind != request_kind::upload) {
        return same_region ? domain_cost_ms : region_cost_ms;
    }
    // The link between regions is narrow: one large body delays everything else on it.
    return same_region ? domain_cost_ms + upload_domain_cost_ms
                       : region_cost_ms + upload_region_cost_ms;
}

// Expected time at the target until the answer, in ms.
double time_at(const routing_state& state, const target_state& target, boot_time now) {
    const double slots = std::max(target.entry.slots, 1U);
    const double queue = std::max(requests_at(target, now) + 1 - slots, 0.0) / slots;
    const double slowdown =
        now - target.load_received_at < load_report_life ? std::max(target.load.slowdown, 0.1) : 1;
    return (queue + 1) * work_ms_of(state, target) * slowdown;
}

struct candidate {
    target_state* target = nullptr;
    double way_ms = 0;
    double total_ms = 0;
};

// The fastest one, or one that is about as fast, as near, and was sent nothing for longer.
target_state* pick(std::span<const candidate> from) {
    const auto fastest = std::min_element(
        from.begin(), from.end(),
        [](const candidate& one, const candidate& other) { return one.total_ms < other.total_ms; });
    if (fastest == from.end()) {
        return nullptr;
    }
    auto* picked = fastest->target;
    for (const auto& each : from) {
        if (each.way_ms == fastest->way_ms &&
            each.total_ms <= fastest->total_ms * (1 + equal_part) &&
            each.target->sent_at < picked->sent_at) {
            picked = each.target;
        }
    }
    return picked;
}

// Whether the target has a queue as long as a router should cause.
bool is_full(const target_state& target, boot_time now) {
    return requests_at(target, now) >= target.entry.slots + queued_at_target;
}

// Router's own share of the requests that a cold target bears in one second.
double cold_share(const routing_state& state, const service& kind) {
    const auto limit = kind.cold_requests_per_second * state.bounds.cold_rate_factor +
                       state.bounds.cold_rate_extra;
    return share_of(limit, state.router_count, state.router_rank);
}

// One request of the rate that was lent for the target, when it is near its capacity.
bool take_token(target_state& target, boot_time now) {
    if (target.rate_quota <= 0) {
        return true;
    }
    const auto passed = std::chrono::duration<double>(now - target.rate_tokens_at).count();
    target.rate_tokens = std::min(target.rate_tokens + passed * target.rate_quota, most_tokens);
    target.rate_tokens_at = now;
    if (target.rate_tokens < 1) {
        return false;
    }
    target.rate_tokens -= 1;
    return true;
}

// Requests that this router may have at a target without keys.
std::uint32_t places_at(const routing_state& state, const target_state& target, const service& kind,
                        boot_time now) {
    const auto window = concurrency_limit_of(state, target, kind, now);
    if (state.concurrency_quotas.empty()) {
        return std::min(window, places_before_lending);
    }
    const auto lent = state.concurrency_quotas.find(target.entry.id);
    return lent == state.concurrency_quotas.end() ? 0 : std::min(window, lent->second);
}

target_choice choose_owner(routing_state& state, const choice_request& request, const service& kind,
                           boot_time now) {
    const auto map = state.keys.find(request.service);
    if (map == state.keys.end()) {
        return {choice_kind::wait_for_owner, nullptr};
    }
    const auto& segment = segment_of(map->second, *request.key);
    if (segment.moving || segment.owner.empty()) {
        const auto learnt = state.keys_received_at.find(request.service);
        const auto since = learnt == state.keys_received_at.end() ? now : learnt->second;
        return {choice_kind::wait_for_owner, nullptr,
                milliseconds(std::max<std::int64_t>(
                    milliseconds_until(since + milliseconds(segment.wait_ms), now), 0))};
    }
    const auto found = state.targets.find(segment.owner);
    if (found == state.targets.end() || found->second->entry.service != request.service ||
        !can_send_to(state, *found->second, now) ||
        !is_in_home_region(state, found->second->entry, *request.request_route)) {
        return {choice_kind::wait_for_owner, nullptr};
    }
    auto& target = *found->second;
    if (now < target.unreachable_until) {
        return {choice_kind::wait_for_owner, nullptr,
                std::chrono::duration_cast<milliseconds>(target.unreachable_until - now)};
    }
    if (target.running >= concurrency_limit_of(state, target, kind, now) || is_full(target, now) ||
        !take_token(target, now)) {
        return {choice_kind::wait_for_room, &target};
    }
    if (is_cold(target, now) &&
        !try_acquire(target.cold_rate_limiter, cold_share(state, kind), one_second, now)) {
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
        if (entry.remaining_cold_ms > 0 && entry.sequence != target->entry.sequence) {
            target->cold_until =
                std::max(target->cold_until, now + milliseconds(entry.remaining_cold_ms));
        }
        target->entry = entry;
    }
    return removed;
}

void record_send(target_state& target, boot_time now) {
    ++target.running;
    target.sent_at = now;
}

void record_load(target_state& target, const target_load& load, boot_time now) {
    target.load = load;
    // The answered request is no longer at the target, but still counted here.
    target.own_requests_at_load = target.running > 0 ? target.running - 1 : 0;
    target.load_received_at = now;
}

void record_success(target_state& target, milliseconds latency, bool queued) {
    target.consecutive_failures = 0;
    target.avoid_until = {};
    target.consecutive_refused_connects = 0;
    target.unreachable_until = {};
    const auto time_ms = static_cast<double>(latency.count());
    target.answer_ms = target.answer_ms == 0 ? time_ms
                                             : target.answer_ms + (time_ms - target.answer_ms) *
                                                                      detail::answer_weight;
    target.answered = true;
    if (!queued) {
        ++target.unqueued_answers;
        target.unqueued_sum_ms += static_cast<double>(latency.count());
    }
}

double work_ms_of(const routing_state& state, const target_state& target) {
    if (target.work_ms > 0) {
        return target.work_ms;
    }
    double sum = 0;
    std::uint32_t known = 0;
    for (const auto& [id, other] : state.targets) {
        if (other->work_ms > 0 && other->entry.service == target.entry.service) {
            sum += other->work_ms;
            ++known;
        }
    }
    return known > 0 ? sum / known : detail::unknown_work_ms;
}

double capacity_of(const routing_state& state, const target_state& target) {
    constexpr double ms_per_s = 1000;
    return target.entry.slots * ms_per_s / work_ms_of(state, target);
}

void record_failure(target_state& target, bool connected, boot_time now) {
    target.consecutive_refused_connects = connected ? 0 : target.consecutive_refused_connects + 1;
    if (target.consecutive_refused_connects >= detail::failures_to_avoid) {
        target.unreachable_until = now + detail::avoid_time;
    }
    ++target.consecutive_failures;
    if (target.consecutive_failures >= detail::failures_to_avoid) {
        target.avoid_until = now + detail::avoid_time;
    }
}

bool is_cold(const target_state& target, boot_time now) {
    return now < target.cold_until;
}

bool is_in_home_region(const routing_state& state, const target_entry& target, const route& on) {
    if (on.home_regions.empty()) {
        return true;
    }
    return std::find(on.home_regions.begin(), on.home_regions.end(),
                     region_of(state.regions, target.failure_domain)) != on.home_regions.end();
}

bool is_used_by_any_route(const routing_state& state, const target_entry& target) {
    return std::any_of(
        state.config.routes.begin(), state.config.routes.end(), [&](const route& on) {
            return is_in_home_region(state, target, on) &&
                   std::any_of(on.services.begin(), on.services.end(),
                               [&](const weighted_service& part) {
                                   return part.weight > 0 && part.service == target.service;
                               });
        });
}

bool can_send_to(const routing_state& state, const target_state& target, boot_time /*now*/) {
    return !target.entry.leaving &&
           !state.registry.evacuated_domains.contains(target.entry.failure_domain);
}

std::uint32_t concurrency_limit_of(const routing_state& state, const target_state& target,
                                   const service& kind, boot_time now) {
    const auto routers = std::max(state.router_count, 1U);
    const auto by_slots = target.entry.slots + detail::queued_at_target;
    if (kind.max_connections == 0) {
        return by_slots;
    }
    const auto share = now < state.former_connections_until ? detail::restarted_connection_share
                                                            : detail::connection_share;
    const auto by_connections =
        static_cast<std::uint32_t>(std::max(kind.max_connections * share / routers, 1.0));
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
    std::vector<detail::candidate> free;
    target_state* cold = nullptr;
    for (auto& [id, target] : state.targets) {
        if (target->entry.service != request.service || !can_send_to(state, *target, now) ||
            !is_in_home_region(state, target->entry, *request.request_route) ||
            std::find(request.tried_targets.begin(), request.tried_targets.end(), id) !=
                request.tried_targets.end()) {
            continue;
        }
        if (target->running >= detail::places_at(state, *target, kind->second, now) ||
            detail::is_full(*target, now) || now < target->avoid_until) {
            best.kind = choice_kind::wait_for_room;
            continue;
        }
        if (is_cold(*target, now)) {
            cold = cold == nullptr || target->running < cold->running ? target.get() : cold;
            continue;
        }
        const auto way = detail::way_cost(state, *target, *request.request_route);
        free.push_back({target.get(), way, way + detail::time_at(state, *target, now)});
    }
    if (auto* picked = detail::pick(free); picked != nullptr) {
        best = {choice_kind::target, picked};
    }
    // Cold targets help out when the warm ones are busy, within what they bear.
    const bool busy = best.kind != choice_kind::target ||
                      detail::requests_at(*best.target, now) >= best.target->entry.slots;
    if (busy && cold != nullptr &&
        try_acquire(cold->cold_rate_limiter, detail::cold_share(state, kind->second),
                    detail::one_second, now)) {
        return {choice_kind::target, cold};
    }
    if (cold != nullptr && best.kind == choice_kind::none) {
        best.kind = choice_kind::wait_for_room;
    }
    return best;
}

}  // namespace mimosavalve::gateway
