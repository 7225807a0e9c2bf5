#include "mimosavalve/gateway/target_table.hpp"

#include <algorithm>
#include <utility>

#include "target_choice.hpp"

namespace mimosavalve::gateway {

namespace detail {

// Share of a target's connections that all routers together use for requests; the rest is left for
// probes and commands.
constexpr double connection_share = 0.9;
// The same while connections of earlier instances of the routers may still be open.
constexpr double restarted_connection_share = connection_share / 2;
// Number of consecutive failures after which a target is avoided, and for how long. An owner of
// keys is avoided only after refused connects.
constexpr std::uint32_t failures_before_avoidance = 2;
constexpr milliseconds avoidance_time{1000};
// Weight of an answer in the running mean, which thus covers about ten answers.
constexpr double answer_mean_weight = 0.1;
// Weight of one answer in a target's mean work time.
constexpr double work_weight = 0.1;
// Assumed duration of work before the first answer.
constexpr double default_work_ms = 100;

void index_targets(routing_state& state) {
    state.targets_by_service.clear();
    for (const auto& [id, target] : state.targets) {
        auto& group = state.targets_by_service[target->entry.service];
        group.targets.push_back(target.get());
        group.work_ms_sum += target->work_ms;
        group.measured += target->work_ms > 0 ? 1 : 0;
    }
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
            target->number = ++state.target_states_created;
        }
        target->cold_until = std::max(target->cold_until, entry.cold_until);
        target->entry = entry;
        // A target that was idle for an evacuation may have become cold, and says so too late.
        const bool is_evacuated = state.registry.evacuated_domains.contains(entry.failure_domain);
        const auto kind = state.config.services.find(entry.service);
        if (std::exchange(target->is_evacuated, is_evacuated) && !is_evacuated &&
            kind != state.config.services.end()) {
            target->cold_until = std::max(target->cold_until, now + kind->second.cold_time);
        }
    }
    detail::index_targets(state);
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

std::map<std::string, std::uint64_t> unregistered_leavers(const routing_state& state) {
    std::map<std::string, std::uint64_t> leavers;
    for (const auto& [id, known] : state.notices) {
        const auto target = state.targets.find(id);
        const bool is_registered = target != state.targets.end() && target->second->entry.leaving;
        if (known.leaving && !is_registered) {
            leavers.emplace(id, known.started_unix_ms);
        }
    }
    return leavers;
}

std::vector<std::string> add_leavers(routing_state& state,
                                     const std::map<std::string, std::uint64_t>& leavers) {
    std::vector<std::string> news;
    for (const auto& [id, started_unix_ms] : leavers) {
        const auto target = state.targets.find(id);
        if (target != state.targets.end() &&
            target->second->entry.started_unix_ms == started_unix_ms &&
            !std::exchange(notice_of(state, *target->second).leaving, true)) {
            news.push_back(id);
        }
    }
    return news;
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

void record_answer(target_state& target, milliseconds latency, bool shows_work) {
    target.consecutive_failures = 0;
    target.avoid_until = {};
    target.consecutive_failed_connects = 0;
    target.unreachable_until = {};
    const auto time_ms = static_cast<double>(latency.count());
    target.answer_ms = target.answer_ms == 0 ? time_ms
                                             : target.answer_ms + (time_ms - target.answer_ms) *
                                                                      detail::answer_mean_weight;
    target.answered = true;
    if (shows_work) {
        ++target.work_samples;
        target.work_sum_ms += work_time_of(latency, target.load);
    }
}

std::span<target_state* const> targets_of(const routing_state& state, std::string_view service) {
    const auto group = state.targets_by_service.find(service);
    return group == state.targets_by_service.end() ? std::span<target_state* const>()
                                                   : group->second.targets;
}

void set_work_ms(routing_state& state, target_state& target, double work_ms) {
    auto& group = state.targets_by_service[target.entry.service];
    group.work_ms_sum += work_ms - target.work_ms;
    group.measured += work_ms > 0 ? 1 : 0;
    group.measured -= target.work_ms > 0 ? 1 : 0;
    target.work_ms = work_ms;
}

void record_work(routing_state& state, target_state& target, std::uint32_t count, double sum_ms) {
    const double mean = sum_ms / count;
    const double weight = std::min(count * detail::work_weight, 1.0);
    set_work_ms(state, target,
                target.work_ms == 0 ? mean : target.work_ms + (mean - target.work_ms) * weight);
}

double work_time_of(milliseconds latency, const target_load& load) {
    const double slots = std::max(load.slots, 1U);
    return static_cast<double>(latency.count()) / (1 + load.waiting / slots);
}

double work_ms_of(const routing_state& state, const target_state& target) {
    if (target.work_ms > 0) {
        return target.work_ms;
    }
    const auto group = state.targets_by_service.find(target.entry.service);
    return group != state.targets_by_service.end() && group->second.measured > 0
               ? group->second.work_ms_sum / group->second.measured
               : detail::default_work_ms;
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

}  // namespace mimosavalve::gateway
