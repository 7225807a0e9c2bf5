#include "loop_watch.hpp"

#include <algorithm>
#include <utility>

namespace mimosavalve::gateway {

namespace detail {

// Lag from which on it is reported.
constexpr milliseconds min_reported_lag{100};
constexpr milliseconds report_interval{1000};

}  // namespace detail

std::optional<milliseconds> record_check(loop_watch& watch, loop_watch::steady::time_point now,
                                         milliseconds period) {
    const bool is_first = watch.check_due == loop_watch::steady::time_point();
    watch.lag = is_first ? milliseconds(0)
                         : std::max(std::chrono::duration_cast<milliseconds>(now - watch.check_due),
                                    milliseconds(0));
    watch.max_lag = std::max(watch.max_lag, watch.lag);
    watch.lag_to_report = std::max(watch.lag_to_report, watch.lag);
    watch.check_due = now + period;
    if (watch.max_lag < detail::min_reported_lag || now < watch.report_due) {
        return std::nullopt;
    }
    watch.report_due = now + detail::report_interval;
    return std::exchange(watch.max_lag, milliseconds(0));
}

}  // namespace mimosavalve::gateway
