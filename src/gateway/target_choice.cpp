#include "target_choice.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <vector>

#include "domain_choice.hpp"
#include "mimosavalve/gateway/target_table.hpp"

namespace mimosavalve::gateway {

namespace detail {

// A load report describes the target for about the time of one request.
constexpr milliseconds load_report_lifetime{400};
// Maximum for a target with a long queue.
constexpr milliseconds max_load_report_lifetime{2000};
// Added time of a request to another region or failure domain: a round trip and the transmission.
// An upload consists of some hundred packets.
constexpr double region_cost_ms = 45;
constexpr double domain_cost_ms = 3;
constexpr double upload_region_cost_ms = 2000;
constexpr double upload_domain_cost_ms = 20;
// After a pause a router may send two requests at once; more would lengthen the target's queue
// needlessly.
constexpr double max_rate_tokens = 2;
// Concurrency limit per target until a router has received quotas from the leader.
constexpr std::uint32_t initial_concurrency = 1;
constexpr milliseconds one_second{1000};

// Measured times of equal targets differ by about this fraction. A target that was avoided for a
// smaller difference would never be measured again under light load.
constexpr double equality_tolerance = 0.1;

// Time for which a load report describes the target: until those that waited have been served, as
// others come meanwhile.
milliseconds report_lifetime(const routing_state& state, const target_state& target) {
    const double slots = std::max(target.load.slots, 1U);
    const auto drained_ms = target.load.waiting * work_ms_of(state, target) / slots;
    return std::clamp(milliseconds(static_cast<std::int64_t>(drained_ms)), load_report_lifetime,
                      max_load_report_lifetime);
}

// Estimated number of requests of all routers at the target.
double requests_at(const routing_state& state, const target_state& target, boot_time now) {
    const auto own = static_cast<double>(target.running);
    if (now - target.load_received_at >= report_lifetime(state, target)) {
        return own;
    }
    const auto reported = static_cast<double>(target.load.running + target.load.waiting);
    return std::max(own, reported - static_cast<double>(target.own_in_flight_at_load) + own);
}

// Added time of the transfer to the target and back, in ms.
double transfer_ms_of(const routing_state& state, const target_state& target,
                      const route& request_route) {
    if (target.entry.failure_domain == state.own_domain) {
        return 0;
    }
    const bool same_region =
        region_of(state.regions, target.entry.failure_domain) == state.own_region;
    if (request_route.kind != request_kind::upload) {
        return same_region ? domain_cost_ms : region_cost_ms;
    }
    // The inter-region link has little bandwidth: one large body delays all other traffic on it.
    return same_region ? domain_cost_ms + upload_domain_cost_ms
                       : region_cost_ms + upload_region_cost_ms;
}

// Expected time from the arrival at the target until the answer, in ms.
double time_at_target_ms(const routing_state& state, const target_state& target, boot_time now) {
    const double slots = std::max(target.entry.slots, 1U);
    const double queue = std::max(requests_at(state, target, now) + 1 - slots, 0.0) / slots;
    const double slowdown = now - target.load_received_at < load_report_lifetime
                                ? std::max(target.load.slowdown, 0.1)
                                : 1;
    return (queue + 1) * work_ms_of(state, target) * slowdown;
}

target_state* pick_candidate(std::span<const candidate> from) {
    const auto fastest = std::min_element(
        from.begin(), from.end(),
        [](const candidate& one, const candidate& other) { return one.total_ms < other.total_ms; });
    if (fastest == from.end()) {
        return nullptr;
    }
    auto* picked = fastest->target;
    for (const auto& each : from) {
        if (each.transfer_ms == fastest->transfer_ms &&
            each.total_ms <= fastest->total_ms * (1 + equality_tolerance) &&
            each.target->sent_at < picked->sent_at) {
            picked = each.target;
        }
    }
    return picked;
}

// Whether the queue of the target has reached its maximum length.
bool is_queue_full(const routing_state& state, const target_state& target, boot_time now) {
    return requests_at(state, target, now) >= target.entry.slots + max_queued_at_target;
}

// Part of a cold target's rate that dispatchers share; the rest is for routers that have not yet
// learned of them.
constexpr double dispatched_cold_fraction = 0.75;

// This router's share of the requests that a cold target can handle in one second.
double cold_rate_share(const routing_state& state, const target_state& target,
                       const service& kind) {
    const auto limit = kind.cold_requests_per_second * state.bounds.cold_rate_factor +
                       state.bounds.cold_rate_extra_per_second;
    const auto region = region_of(state.regions, target.entry.failure_domain);
    const auto rank =
        state.dispatchers.by_destination.empty()
            ? std::nullopt
            : rank_of(state.dispatchers, region_destination(kind.name, region), state.own_host);
    if (rank) {
        return share_of(limit * dispatched_cold_fraction, rank->dispatchers, rank->rank);
    }
    const bool has_dispatchers =
        state.dispatchers.by_destination.contains(region_destination(kind.name, region));
    return share_of(has_dispatchers ? limit * (1 - dispatched_cold_fraction) : limit,
                    state.router_count, state.router_rank);
}

// Takes one token of this router's rate quota for the target, if there is a quota.
bool try_acquire_token(target_state& target, boot_time now) {
    if (target.rate_quota <= 0) {
        return true;
    }
    const auto elapsed = std::chrono::duration<double>(now - target.rate_tokens_at).count();
    target.rate_tokens =
        std::min(target.rate_tokens + elapsed * target.rate_quota, max_rate_tokens);
    target.rate_tokens_at = now;
    if (target.rate_tokens < 1) {
        return false;
    }
    target.rate_tokens -= 1;
    return true;
}

// Maximum number of requests that this router may have at a target without keys: the lower of
// `own_concurrency_limit` and the allocated quota, or 0 if the leader allocated none for this
// target. Before any quota is received, `initial_concurrency` replaces the quota.
std::uint32_t concurrency_at(const routing_state& state, const target_state& target,
                             const service& kind, boot_time now) {
    const auto limit = own_concurrency_limit(state, target, kind, now);
    if (has_request_limit(state, target.entry, now)) {
        return limit;
    }
    if (state.concurrency_quotas.empty()) {
        return std::min(limit, initial_concurrency);
    }
    const auto quota = state.concurrency_quotas.find(target.entry.id);
    return quota == state.concurrency_quotas.end() ? 0 : std::min(limit, quota->second);
}

// Whether new requests may be sent to the target, and no other target has answered at its address.
bool is_usable(const routing_state& state, const target_state& target, boot_time now) {
    return can_send_to(state, target, now) &&
           address_pause_left(state.beliefs, target.entry, now).count() == 0;
}

// Whether the owner of the keys has answered 421 to the request under the present fence.
bool has_refused(const choice_request& request, const key_segment& segment) {
    return request.refused_fence > 0 && segment.fence <= request.refused_fence;
}

// What the target's present instance has said in its answers; null: nothing.
template <typename State>
auto* known_notice(State& state, const target_state& target) {
    const auto known = state.notices.find(target.entry.id);
    return known != state.notices.end() &&
                   known->second.started_unix_ms == target.entry.started_unix_ms
               ? &known->second
               : nullptr;
}

// Whether a request keeps what the target has said in its answers.
bool is_within_notices(routing_state& state, const target_state& target, boot_time now) {
    auto* known = known_notice(state, target);
    return known == nullptr ||
           (!is_paused(*known, now) && has_token(*known, state.router_count, now));
}

// A router whose quotas are all at targets that it may not use now, or that have just failed the
// request, may use one of the others.
bool may_replace_quotas(routing_state& state, const choice_request& request, boot_time now) {
    bool has_quota = false;
    for (const auto& [id, quota] : state.concurrency_quotas) {
        const auto found = state.targets.find(id);
        if (quota == 0 || found == state.targets.end() ||
            found->second->entry.service != request.service) {
            continue;
        }
        has_quota = true;
        const auto& target = *found->second;
        const bool has_failed =
            now < target.avoid_until ||
            std::find(request.tried_targets.begin(), request.tried_targets.end(), id) !=
                request.tried_targets.end();
        if (is_usable(state, target, now) && is_within_notices(state, target, now) && !has_failed) {
            return false;
        }
    }
    return has_quota;
}

// Counts a request to the target.
target_choice chosen(routing_state& state, target_state* target,
                     leave_reason reason = leave_reason::none) {
    if (auto* known = known_notice(state, *target); known != nullptr) {
        take_token(*known);
    }
    return {choice_kind::target, target, milliseconds(0), reason};
}

// Chooses a target while requests leave the own domain only if that pays.
target_choice choose_by_domain(routing_state& state, const choice_request& request,
                               std::span<const candidate> free, const home_survey& home,
                               const service& kind, boot_time now) {
    const auto picked = pick_by_domain(state, request, free, home, now);
    const bool busy = picked.target == nullptr || picked.reason != leave_reason::none ||
                      requests_at(state, *picked.target, now) >= picked.target->entry.slots;
    if (busy && home.cold != nullptr &&
        try_acquire(home.cold->cold_rate_limiter, cold_rate_share(state, *home.cold, kind),
                    one_second, now)) {
        return chosen(state, home.cold);
    }
    if (picked.target == nullptr) {
        return {choice_kind::wait_for_room, nullptr};
    }
    if (picked.reason != leave_reason::none) {
        take_token(state.overflow, request.service, picked.target->entry.failure_domain);
    }
    return chosen(state, picked.target, picked.reason);
}

target_choice choose_owner(routing_state& state, const choice_request& request, const service& kind,
                           boot_time now) {
    const auto map = state.keys.find(request.service);
    if (map == state.keys.end()) {
        return {choice_kind::wait_for_owner, nullptr};
    }
    const auto& segment = segment_of(map->second, *request.key);
    if (segment.moving || segment.owner.empty()) {
        const auto received_at = state.keys_received_at.find(request.service);
        const auto since = received_at == state.keys_received_at.end() ? now : received_at->second;
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
    if (const auto pause = std::max(address_pause_left(state.beliefs, target.entry, now),
                                    owner_pause_left(state.beliefs, request.service, segment, now));
        pause.count() > 0) {
        return {choice_kind::wait_for_owner, nullptr, pause};
    }
    if (has_refused(request, segment)) {
        return {};  // Only another request may show that the owner holds the key now.
    }
    if (!is_within_notices(state, target, now)) {
        return {choice_kind::held_back, &target, pause_left(state, target, now)};
    }
    if (now < target.unreachable_until) {
        return {choice_kind::wait_for_owner, nullptr,
                std::chrono::duration_cast<milliseconds>(target.unreachable_until - now)};
    }
    if (target.running >= own_concurrency_limit(state, target, kind, now) ||
        is_queue_full(state, target, now) || !try_acquire_token(target, now)) {
        return {choice_kind::wait_for_room, &target};
    }
    if (is_cold(target, now) &&
        !try_acquire(target.cold_rate_limiter, cold_rate_share(state, target, kind), one_second,
                     now)) {
        return {choice_kind::wait_for_room, &target};
    }
    take_probe(state.beliefs, request.service, segment, now);
    return chosen(state, &target);
}

}  // namespace detail

milliseconds pause_left(const routing_state& state, const target_state& target, boot_time now) {
    const auto* known = detail::known_notice(state, target);
    return known != nullptr && is_paused(*known, now)
               ? std::chrono::ceil<milliseconds>(known->paused_until - now)
               : milliseconds(0);
}

bool is_still_eligible(const routing_state& state, const target_state& target,
                       const choice_request& request, boot_time now) {
    if (!detail::is_usable(state, target, now) || pause_left(state, target, now).count() > 0) {
        return false;
    }
    const auto kind = state.config.services.find(std::string(request.service));
    if (kind == state.config.services.end() || !kind->second.keyed || !request.key) {
        return true;
    }
    const auto map = state.keys.find(request.service);
    if (map == state.keys.end()) {
        return false;
    }
    const auto& segment = segment_of(map->second, *request.key);
    const auto* contradiction = contradiction_of(state.beliefs, request.service, segment);
    return !segment.moving && segment.owner == target.entry.id &&
           !detail::has_refused(request, segment) &&
           (contradiction == nullptr || request.chosen_at >= contradiction->since);
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
    std::optional<milliseconds> held_back_for;
    home_survey home;
    const bool may_replace_quotas =
        request.ignores_quotas || detail::may_replace_quotas(state, request, now);
    for (auto* target : targets_of(state, request.service)) {
        if (!detail::is_usable(state, *target, now) ||
            !is_in_home_region(state, target->entry, *request.request_route) ||
            std::find(request.tried_targets.begin(), request.tried_targets.end(),
                      target->entry.id) != request.tried_targets.end()) {
            continue;
        }
        if (!detail::is_within_notices(state, *target, now)) {
            const auto pause = pause_left(state, *target, now);
            held_back_for = std::min(held_back_for.value_or(pause), pause);
            continue;
        }
        const auto concurrency = std::max(detail::concurrency_at(state, *target, kind->second, now),
                                          may_replace_quotas ? detail::initial_concurrency : 0);
        const bool is_usable_home =
            target->entry.failure_domain == state.own_domain && now >= target->avoid_until;
        home.is_usable = home.is_usable || is_usable_home;
        if (target->running >= concurrency || detail::is_queue_full(state, *target, now) ||
            now < target->avoid_until) {
            best.kind = choice_kind::wait_for_room;
            if (is_usable_home) {
                add_full_target(home, *target, detail::time_at_target_ms(state, *target, now),
                                work_ms_of(state, *target));
            }
            continue;
        }
        if (is_cold(*target, now)) {
            cold = cold == nullptr || target->running < cold->running ? target : cold;
            if (is_usable_home) {
                add_full_target(home, *target, detail::time_at_target_ms(state, *target, now),
                                work_ms_of(state, *target));
                home.cold = home.cold == nullptr || target->running < home.cold->running
                                ? target
                                : home.cold;
            }
            continue;
        }
        const auto transfer_ms = detail::transfer_ms_of(state, *target, *request.request_route);
        free.push_back(
            {target, transfer_ms, transfer_ms + detail::time_at_target_ms(state, *target, now)});
    }
    if (decides_by_domain(state, request.service, home)) {
        return detail::choose_by_domain(state, request, free, home, kind->second, now);
    }
    const auto reason =
        is_known(state.overflow, request.service) ? leave_reason::home_lost : leave_reason::none;
    if (auto* picked = detail::pick_candidate(free); picked != nullptr) {
        best = {choice_kind::target, picked};
    }
    // If the warm targets are busy, cold ones are used as well, within this router's share of
    // the cold rate.
    const bool busy = best.kind != choice_kind::target ||
                      detail::requests_at(state, *best.target, now) >= best.target->entry.slots;
    if (busy && cold != nullptr &&
        try_acquire(cold->cold_rate_limiter, detail::cold_rate_share(state, *cold, kind->second),
                    detail::one_second, now)) {
        return detail::chosen(state, cold, reason);
    }
    if (best.kind == choice_kind::target) {
        return detail::chosen(state, best.target, reason);
    }
    if (cold != nullptr && best.kind == choice_kind::none) {
        best.kind = choice_kind::wait_for_room;
    }
    if (best.kind == choice_kind::none && held_back_for) {
        best = {choice_kind::held_back, nullptr, *held_back_for};
    }
    return best;
}

}  // namespace mimosavalve::gateway
