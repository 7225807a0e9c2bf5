#include "mimosavalve/gateway/leader_placement.hpp"

#include <algorithm>

namespace mimosavalve::gateway {

namespace detail {

constexpr milliseconds lag_period{1000};
constexpr milliseconds kept_lag_time =
    lag_period * static_cast<std::int64_t>(lag_history::kept_seconds);
// Delay of a candidate without any capacity. It exceeds the time that a claim takes in the store,
// so that the largest host has claimed the leadership before a small one stands.
constexpr milliseconds max_capacity_delay{400};
constexpr milliseconds max_lag_delay{400};
// Time for which the others leave the election to a named successor: it reads of the vacancy and
// claims the leadership with three calls to the store.
constexpr milliseconds successor_first_time{400};
// A successor counts as named for this time. The lease of a leader that dies during the transfer
// ends later (1.2 s), and all stand for election as without a transfer.
constexpr milliseconds notice_lifetime{1000};
// A new leader has heard of all hosts after this time.
constexpr milliseconds min_term_for_capacity{2000};
// Other followers may lag as well, so leadership changes rarely for this reason.
constexpr milliseconds min_term_for_lag{10000};
constexpr milliseconds min_transfer_interval{5000};
// Smaller advantages are not worth a change of leader, in which no key moves for seconds.
constexpr double min_capacity_factor = 2;

// Lag from which new callers are better served by other routers, and for how long.
constexpr milliseconds min_unready_lag{250};
constexpr std::size_t min_unready_lag_seconds = 2;
constexpr milliseconds punctual_time{1000};
constexpr milliseconds max_unready_time{2000};
constexpr milliseconds unready_window{20000};
// The balancer checks each second, so a shorter time without readiness has no effect.
constexpr milliseconds min_unready_time{1000};

// Share of the loop's time that replies may take.
constexpr double max_reply_share = 0.5;
// Loop time by which they may exceed it: one round of replies after a change of state.
constexpr reply_pacing::cost max_reply_burst{200};
// A router gives up a call after 900 ms.
constexpr milliseconds max_reply_interval{600};
// Weight of the last reply in the mean.
constexpr double cost_weight = 1.0 / 16;

reply_pacing::cost spent_now(const reply_pacing& pacing, boot_time now) {
    const auto allowed = reply_pacing::cost(now - pacing.spent_at) * max_reply_share;
    return std::max(pacing.spent - allowed, reply_pacing::cost(0));
}

bool is_better(const successor_candidate& one, const successor_candidate& other) {
    return one.has_lagged != other.has_lagged ? other.has_lagged : one.capacity > other.capacity;
}

}  // namespace detail

void record_lag(lag_history& history, milliseconds lag, boot_time now) {
    if (history.current_end == boot_time{}) {
        history.current_end = now + detail::lag_period;
    }
    // Everything that was due since then has been late.
    const auto late_since = now - lag;
    if (now - history.current_end >= detail::kept_lag_time + detail::lag_period) {
        history.past.fill(milliseconds(0));
        history.current = milliseconds(0);
        history.current_end = now - detail::kept_lag_time;
    }
    while (now >= history.current_end) {
        if (history.current_end > late_since) {
            history.current = std::max(history.current, lag);
        }
        std::copy_backward(history.past.begin(), history.past.end() - 1, history.past.end());
        history.past.front() = history.current;
        history.current = milliseconds(0);
        history.current_end += detail::lag_period;
    }
    history.current = std::max(history.current, lag);
}

milliseconds recent_lag(const lag_history& history) {
    return std::max(history.current, history.past.front());
}

bool has_lagged(const lag_history& history, std::size_t seconds, milliseconds lag) {
    return std::all_of(history.past.begin(),
                       history.past.begin() + static_cast<std::ptrdiff_t>(seconds),
                       [&](milliseconds past) { return past >= lag; });
}

void record_successor(placement_state& placement, std::string_view successor, std::uint64_t epoch,
                      boot_time now) {
    placement.transfer = {std::string(successor), epoch, now + detail::notice_lifetime};
    if (!successor.empty()) {
        placement.transferred_at = now;
    }
}

milliseconds candidacy_delay(const placement_state& placement, const election_candidate& candidate,
                             std::uint64_t ended_epoch, boot_time now) {
    const auto& transfer = placement.transfer;
    const bool is_transfer =
        !transfer.successor.empty() && transfer.epoch == ended_epoch && now < transfer.valid_until;
    if (is_transfer && transfer.successor == candidate.host) {
        return milliseconds(0);
    }
    auto delay = candidate.random_delay;
    if (is_transfer) {
        delay += detail::successor_first_time;
    }
    if (placement.top_capacity <= 0) {
        return delay;
    }
    const auto shortfall = std::clamp(1 - candidate.capacity / placement.top_capacity, 0.0, 1.0);
    delay += milliseconds(static_cast<std::int64_t>(
        shortfall * static_cast<double>(detail::max_capacity_delay.count())));
    const auto lag = recent_lag(placement.lag);
    if (lag > min_lag) {
        delay += std::min(lag, detail::max_lag_delay);
    }
    return delay;
}

std::optional<planned_transfer> plan_transfer(const placement_state& placement,
                                              const transfer_conditions& leader,
                                              std::span<const successor_candidate> candidates,
                                              boot_time now) {
    if (placement.top_capacity <= 0 || !leader.store_responsive || leader.stopping ||
        (placement.transferred_at &&
         now - *placement.transferred_at < detail::min_transfer_interval)) {
        return std::nullopt;
    }
    const auto term_age = now - leader.term_began;
    const bool is_late = term_age > detail::min_term_for_lag &&
                         has_lagged(placement.lag, compared_lag_time / detail::lag_period, min_lag);
    const successor_candidate* best = nullptr;
    auto reason = transfer_reason::capacity;
    for (const auto& candidate : candidates) {
        const bool is_larger = term_age > detail::min_term_for_capacity &&
                               candidate.capacity >= leader.capacity * detail::min_capacity_factor;
        const bool is_punctual =
            is_late && candidate.capacity >= leader.capacity && !candidate.has_lagged;
        if (!candidate.can_lead || !(is_larger || is_punctual) ||
            (best != nullptr && !detail::is_better(candidate, *best))) {
            continue;
        }
        best = &candidate;
        reason = is_larger ? transfer_reason::capacity : transfer_reason::lag;
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return planned_transfer{best->host, reason};
}

void record_cost(reply_pacing& pacing, reply_pacing::cost cost, bool is_reply, boot_time now) {
    pacing.spent = detail::spent_now(pacing, now) + cost;
    pacing.spent_at = now;
    // Separate means, since calls and replies come in batches.
    auto& mean = is_reply ? pacing.per_reply : pacing.per_call;
    mean += (cost - mean) * (mean == reply_pacing::cost(0) ? 1 : detail::cost_weight);
}

milliseconds reply_interval(const reply_pacing& pacing, std::size_t routers, boot_time now) {
    if (detail::spent_now(pacing, now) <= detail::max_reply_burst) {
        return milliseconds(0);
    }
    const auto interval = (pacing.per_call + pacing.per_reply) * static_cast<double>(routers) /
                          detail::max_reply_share;
    return std::min(std::chrono::ceil<milliseconds>(interval), detail::max_reply_interval);
}

bool record_check(readiness& state, const placement_state& placement, milliseconds lag,
                  boot_time now) {
    if (lag >= min_lag) {
        state.lagged_at = now;
    }
    if (!is_ready(state, now)) {
        if (now - state.lagged_at >= detail::punctual_time) {
            state.spells.back().until = now;
        }
        return false;
    }
    const auto window_began = now - detail::unready_window;
    std::erase_if(state.spells, [&](const auto& spell) { return spell.until <= window_began; });
    if (placement.top_capacity <= 0 ||
        !has_lagged(placement.lag, detail::min_unready_lag_seconds, detail::min_unready_lag)) {
        return false;
    }
    boot_clock::duration left = detail::max_unready_time;
    for (const auto& spell : state.spells) {
        left -= spell.until - std::max(spell.began, window_began);
    }
    if (left < detail::min_unready_time) {
        return false;
    }
    state.spells.push_back({now, now + left});
    return true;
}

bool is_ready(const readiness& state, boot_time now) {
    return state.spells.empty() || now >= state.spells.back().until;
}

double top_capacity_of(std::span<const double> capacities) {
    if (capacities.empty()) {
        return 0;
    }
    const auto [smallest, largest] = std::minmax_element(capacities.begin(), capacities.end());
    return *smallest < *largest ? *largest : 0;
}

}  // namespace mimosavalve::gateway
