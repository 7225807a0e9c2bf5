#include "mimosavalve/gateway/target_table.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace mimosavalve::gateway {

namespace detail {

// Share of a target's connections that all routers together use for requests; the rest is left for
// probes and commands.
constexpr double connection_share = 0.9;
// The same while connections of earlier instances of the routers may still be open.
constexpr double restarted_connection_share = connection_share / 2;
// Maximum number of requests of all routers that queue at a target, so that no slot is idle until
// the next request arrives. It does not depend on the number of slots, since neither does the time
// of the transfer.
constexpr std::uint32_t max_queued_at_target = 4;
// Number of consecutive failures after which a target is avoided, and for how long. An owner of
// keys is avoided only after refused connects.
constexpr std::uint32_t failures_before_avoidance = 2;
constexpr milliseconds avoidance_time{1000};
// A load report describes the target for about the time of one request.
constexpr milliseconds load_report_lifetime{400};
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
// Weight of an answer in the running mean, which thus covers about ten answers.
constexpr double answer_mean_weight = 0.1;
// Assumed duration of work before the first answer.
constexpr double default_work_ms = 100;
constexpr milliseconds one_second{1000};

// Measured times of equal targets differ by about this fraction. A target that was avoided for a
// smaller difference would never be measured again under light load.
constexpr double equality_tolerance = 0.1;

// Estimated number of requests of all routers at the target.
double requests_at(const target_state& target, boot_time now) {
    const auto own = static_cast<double>(target.running);
    if (now - target.load_received_at >= load_report_lifetime) {
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
    const double queue = std::max(requests_at(target, now) + 1 - slots, 0.0) / slots;
    const double slowdown = now - target.load_received_at < load_report_lifetime
                                ? std::max(target.load.slowdown, 0.1)
                                : 1;
    return (queue + 1) * work_ms_of(state, target) * slowdown;
}

struct candidate {
    target_state* target = nullptr;
    double transfer_ms = 0;
    double total_ms = 0;
};

// Returns the fastest candidate, or among candidates that are about as fast and have the same
// transfer time, the one whose last request was sent earliest.
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
bool is_queue_full(const target_state& target, boot_time now) {
    return requests_at(target, now) >= target.entry.slots + max_queued_at_target;
}

// This router's share of the requests that a cold target can handle in one second.
double cold_rate_share(const routing_state& state, const service& kind) {
    const auto limit = kind.cold_requests_per_second * state.bounds.cold_rate_factor +
                       state.bounds.cold_rate_extra_per_second;
    return share_of(limit, state.router_count, state.router_rank);
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

// Whether a request keeps what the target has said in its answers.
bool is_within_notices(routing_state& state, const target_state& target, boot_time now) {
    const auto known = state.notices.find(target.entry.id);
    return known == state.notices.end() ||
           known->second.started_unix_ms != target.entry.started_unix_ms ||
           has_token(known->second, state.router_count, now);
}

// Counts a request to the target.
target_choice chosen(routing_state& state, target_state* target) {
    const auto known = state.notices.find(target->entry.id);
    if (known != state.notices.end()) {
        take_token(known->second);
    }
    return {choice_kind::target, target};
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
    if (!is_within_notices(state, target, now)) {
        return {choice_kind::held_back, &target};
    }
    if (now < target.unreachable_until) {
        return {choice_kind::wait_for_owner, nullptr,
                std::chrono::duration_cast<milliseconds>(target.unreachable_until - now)};
    }
    if (target.running >= own_concurrency_limit(state, target, kind, now) ||
        is_queue_full(target, now) || !try_acquire_token(target, now)) {
        return {choice_kind::wait_for_room, &target};
    }
    if (is_cold(target, now) &&
        !try_acquire(target.cold_rate_limiter, cold_rate_share(state, kind), one_second, now)) {
        return {choice_kind::wait_for_room, &target};
    }
    return chosen(state, &target);
}

}  // namespace detail

std::vector<std::unique_ptr<target_state>> update_targets(routing_state& state, boot_time now) {
    std::vector<std::unique_ptr<target_state>> removed;
    for (auto position = state.targets.begin(); position != state.targets.end();) {
        const auto found = state.registry.targets.find(position->first);
        const bool same =
            found != state.registry.targets.end() &&
            found->second.started_unix_ms == position->second->entry.started_unix_ms &&
            found->second.address == position->second->entry.address;
        if (same) {
            ++position;
        } else {
            removed.push_back(std::move(position->second));
            position = state.targets.erase(position);
        }
    }
    std::erase_if(state.notices, [&](const auto& known) {
        return !state.registry.targets.contains(known.first) &&
               !state.registry.gone.contains(known.first);
    });
    for (const auto& [id, entry] : state.registry.targets) {
        auto& target = state.targets[id];
        if (!target) {
            target = std::make_unique<target_state>();
        }
        // The entry holds the cold time that remained when it was written.
        if (entry.remaining_cold_ms > 0 && entry.sequence != target->entry.sequence) {
            target->cold_until =
                std::max(target->cold_until, now + milliseconds(entry.remaining_cold_ms));
        }
        target->entry = entry;
    }
    return removed;
}

bool has_request_limit(const routing_state& state, const target_entry& target, boot_time now) {
    const auto known = state.notices.find(target.id);
    return known != state.notices.end() &&
           known->second.started_unix_ms == target.started_unix_ms &&
           is_limited(known->second, now);
}

target_notice& notice_of(routing_state& state, const target_state& target) {
    auto& known = state.notices[target.entry.id];
    if (known.started_unix_ms != target.entry.started_unix_ms) {
        known = {};
        known.started_unix_ms = target.entry.started_unix_ms;
    }
    return known;
}

void record_send(target_state& target, boot_time now) {
    ++target.running;
    target.sent_at = now;
}

void record_load(target_state& target, const target_load& load, boot_time now) {
    target.load = load;
    // The answered request has left the target but is still counted in `running`.
    target.own_in_flight_at_load = target.running > 0 ? target.running - 1 : 0;
    target.load_received_at = now;
}

void record_answer(target_state& target, milliseconds latency, bool queued) {
    target.consecutive_failures = 0;
    target.avoid_until = {};
    target.consecutive_failed_connects = 0;
    target.unreachable_until = {};
    const auto time_ms = static_cast<double>(latency.count());
    target.answer_ms = target.answer_ms == 0 ? time_ms
                                             : target.answer_ms + (time_ms - target.answer_ms) *
                                                                      detail::answer_mean_weight;
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
    std::uint32_t count = 0;
    for (const auto& [id, other] : state.targets) {
        if (other->work_ms > 0 && other->entry.service == target.entry.service) {
            sum += other->work_ms;
            ++count;
        }
    }
    return count > 0 ? sum / count : detail::default_work_ms;
}

double capacity_of(const routing_state& state, const target_state& target) {
    constexpr double ms_per_s = 1000;
    const auto capacity = target.entry.slots * ms_per_s / work_ms_of(state, target);
    const auto known = state.notices.find(target.entry.id);
    const bool is_capped = known != state.notices.end() && known->second.request_limit > 0 &&
                           known->second.started_unix_ms == target.entry.started_unix_ms;
    return is_capped ? std::min(capacity, known->second.request_limit) : capacity;
}

void record_failure(target_state& target, bool connected, boot_time now) {
    target.consecutive_failed_connects = connected ? 0 : target.consecutive_failed_connects + 1;
    if (target.consecutive_failed_connects >= detail::failures_before_avoidance) {
        target.unreachable_until = now + detail::avoidance_time;
    }
    ++target.consecutive_failures;
    if (target.consecutive_failures >= detail::failures_before_avoidance) {
        target.avoid_until = now + detail::avoidance_time;
    }
}

bool is_cold(const target_state& target, boot_time now) {
    return now < target.cold_until;
}

bool is_in_home_region(const routing_state& state, const target_entry& target,
                       const route& request_route) {
    if (request_route.home_regions.empty()) {
        return true;
    }
    return std::find(request_route.home_regions.begin(), request_route.home_regions.end(),
                     region_of(state.regions, target.failure_domain)) !=
           request_route.home_regions.end();
}

bool is_used_by_any_route(const routing_state& state, const target_entry& target) {
    return std::any_of(
        state.config.routes.begin(), state.config.routes.end(), [&](const route& request_route) {
            return is_in_home_region(state, target, request_route) &&
                   std::any_of(request_route.services.begin(), request_route.services.end(),
                               [&](const weighted_service& part) {
                                   return part.weight > 0 && part.service == target.service;
                               });
        });
}

bool can_send_to(const routing_state& state, const target_state& target, boot_time /*now*/) {
    const auto known = state.notices.find(target.entry.id);
    const bool says_it_leaves = known != state.notices.end() && known->second.leaving &&
                                known->second.started_unix_ms == target.entry.started_unix_ms;
    return !target.entry.leaving && !says_it_leaves &&
           !state.registry.evacuated_domains.contains(target.entry.failure_domain);
}

std::uint32_t own_concurrency_limit(const routing_state& state, const target_state& target,
                                    const service& kind, boot_time now) {
    const auto routers = std::max(state.router_count, 1U);
    const auto by_slots = target.entry.slots + detail::max_queued_at_target;
    if (kind.max_connections == 0) {
        return by_slots;
    }
    const auto share = now < state.former_connections_until ? detail::restarted_connection_share
                                                            : detail::connection_share;
    const auto by_connections =
        static_cast<std::uint32_t>(std::max(kind.max_connections * share / routers, 1.0));
    return std::min(by_slots, by_connections);
}

bool is_still_eligible(const routing_state& state, const target_state& target,
                       const choice_request& request, boot_time now) {
    if (!can_send_to(state, target, now)) {
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
    return !segment.moving && segment.owner == target.entry.id;
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
    bool is_any_held_back = false;
    for (auto& [id, target] : state.targets) {
        if (target->entry.service != request.service || !can_send_to(state, *target, now) ||
            !is_in_home_region(state, target->entry, *request.request_route) ||
            std::find(request.tried_targets.begin(), request.tried_targets.end(), id) !=
                request.tried_targets.end()) {
            continue;
        }
        if (!detail::is_within_notices(state, *target, now)) {
            is_any_held_back = true;
            continue;
        }
        if (target->running >= detail::concurrency_at(state, *target, kind->second, now) ||
            detail::is_queue_full(*target, now) || now < target->avoid_until) {
            best.kind = choice_kind::wait_for_room;
            continue;
        }
        if (is_cold(*target, now)) {
            cold = cold == nullptr || target->running < cold->running ? target.get() : cold;
            continue;
        }
        const auto transfer_ms = detail::transfer_ms_of(state, *target, *request.request_route);
        free.push_back({target.get(), transfer_ms,
                        transfer_ms + detail::time_at_target_ms(state, *target, now)});
    }
    if (auto* picked = detail::pick_candidate(free); picked != nullptr) {
        best = {choice_kind::target, picked};
    }
    // If the warm targets are busy, cold ones are used as well, within this router's share of
    // the cold rate.
    const bool busy = best.kind != choice_kind::target ||
                      detail::requests_at(*best.target, now) >= best.target->entry.slots;
    if (busy && cold != nullptr &&
        try_acquire(cold->cold_rate_limiter, detail::cold_rate_share(state, kind->second),
                    detail::one_second, now)) {
        return detail::chosen(state, cold);
    }
    if (best.kind == choice_kind::target) {
        return detail::chosen(state, best.target);
    }
    if (cold != nullptr && best.kind == choice_kind::none) {
        best.kind = choice_kind::wait_for_room;
    }
    if (best.kind == choice_kind::none && is_any_held_back) {
        best.kind = choice_kind::held_back;
    }
    return best;
}

}  // namespace mimosavalve::gateway
