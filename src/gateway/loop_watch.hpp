#pragma once

#include <chrono>
#include <optional>

#include "mimosavalve/gateway/clock.hpp"

namespace mimosavalve::gateway {

/// Measures how late the event loop runs what is due.
struct loop_watch {
    using steady = std::chrono::steady_clock;

    steady::time_point check_due;   ///< When the next check is due.
    steady::time_point report_due;  ///< When a lag may be reported again.
    milliseconds lag{0};            ///< Lateness of the last check.
    milliseconds max_lag{0};        ///< Maximum since the last report in the log.
    milliseconds lag_to_report{0};  ///< Maximum since the last report to the leader.
};

/// Records a check that runs now; the next one is due after `period`. Returns the maximum lag since
/// the last report if it is to be reported now: at most once a second.
std::optional<milliseconds> record_check(loop_watch& watch, loop_watch::steady::time_point now,
                                         milliseconds period);

}  // namespace mimosavalve::gateway
