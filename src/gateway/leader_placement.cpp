#include "mimosavalve/gateway/leader_placement.hpp"

#include <algorithm>

namespace mimosavalve::gateway {

namespace detail {

constexpr milliseconds lag_period{1000};
// Delay of a candidate without any capacity. It exceeds the time that a claim takes in the store,
// so that the largest host has claimed the leadership before a small one stands.
constexpr milliseconds max_capacity_delay{400};
constexpr milliseconds max_lag_delay{400};

}  // namespace detail

void record_lag(lag_history& history, milliseconds lag, boot_time now) {
    if (history.current_end == boot_time{}) {
        history.current_end = now + detail::lag_period;
    }
    // Everything that was due since then has been late.
    const auto late_since = now - lag;
    if (now - history.current_end >= detail::lag_period * (lag_history::kept_seconds + 1)) {
        history.past.fill(milliseconds(0));
        history.current = milliseconds(0);
        history.current_end = now - detail::lag_period * lag_history::kept_seconds;
    }
    while (now >= history.current_end) {
        if (history.current_end > late_since) {
            history.current = std::max(history.current, lag);
        }
        std::shift_right(history.past.begin(), history.past.end(), 1);
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

milliseconds candidacy_delay(const placement_state& placement, double capacity) {
    if (placement.top_capacity <= 0) {
        return milliseconds(0);
    }
    const auto shortfall = std::clamp(1 - capacity / placement.top_capacity, 0.0, 1.0);
    auto delay = milliseconds(static_cast<std::int64_t>(
        shortfall * static_cast<double>(detail::max_capacity_delay.count())));
    const auto lag = recent_lag(placement.lag);
    if (lag > min_lag) {
        delay += std::min(lag, detail::max_lag_delay);
    }
    return delay;
}

double top_capacity_of(std::span<const double> capacities) {
    if (capacities.empty()) {
        return 0;
    }
    const auto [smallest, largest] = std::minmax_element(capacities.begin(), capacities.end());
    return *smallest < *largest ? *largest : 0;
}

}  // namespace mimosavalve::gateway
