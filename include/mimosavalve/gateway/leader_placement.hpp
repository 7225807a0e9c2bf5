#pragma once

#include <array>
#include <cstddef>
#include <span>

#include "mimosavalve/gateway/clock.hpp"

namespace mimosavalve::gateway {

// Which host leads a fleet whose hosts differ in capacity. A leader on a small host whose event
// loop is late renews grants late, so that targets refuse requests for keys that they own. A fleet
// of equal hosts elects its leaders at random.

/// Lag of the event loop from which a router counts as lagging.
inline constexpr milliseconds min_lag{100};

/// Maximum lag of the event loop by second.
struct lag_history {
    static constexpr std::size_t kept_seconds = 3;

    std::array<milliseconds, kept_seconds> past{};  ///< Complete seconds, the last one first.
    milliseconds current{0};                        ///< In the second that has begun.
    boot_time current_end;                          ///< Of that second.
};

/// Records the lag that a check of the event loop has measured now.
void record_lag(lag_history& history, milliseconds lag, boot_time now);
/// Maximum lag in the current second and the last complete one.
milliseconds recent_lag(const lag_history& history);
/// Whether the lag reached this value in each of the last complete seconds.
bool has_lagged(const lag_history& history, std::size_t seconds, milliseconds lag);

/// What a router knows of the hosts that may lead.
struct placement_state {
    /// Largest capacity of the fleet's hosts, in cores; 0 if it is not known, or if no two hosts
    /// differ.
    double top_capacity = 0;
    lag_history lag;  ///< Of this router's event loop.
};

/// Time that a candidate waits in addition to the random delay: the more, the smaller its host is
/// and the later its event loop. 0 where the hosts' capacities do not differ.
milliseconds candidacy_delay(const placement_state& placement, double capacity);

/// Largest of the capacities; 0 if no two of them differ.
double top_capacity_of(std::span<const double> capacities);

}  // namespace mimosavalve::gateway
