#pragma once

#include <cstdint>
#include <optional>

#include "mimosavalve/core/types.hpp"

namespace mimosavalve::traffic {

/// A target's own monotonic clock as read from one of its answers.
struct clock_reading {
    std::uint64_t clock_ms = 0;
    std::uint64_t instance = 0;  ///< Instance of the target that the clock belongs to.
    steady_time received_at;     ///< Time on this router's clock at which the answer arrived.
};

/// Whether the reading is recent enough that a difference of 2% between the clock rates shifts a
/// deadline by no more than a fraction of `start_window`.
bool is_usable(const clock_reading& reading, steady_time now);

/// Whether the reading may be used on a connection opened at `opened`, before the first answer on
/// it names the target's instance. A restarted target may have another clock, so only a reading of
/// the last second is usable; with an older one the new connection has to be probed.
bool is_usable_on_new_connection(const clock_reading& reading, steady_time opened);

/// Value of `Start-By`: `deadline` in ms of the target's clock. Never later than the true deadline:
/// the target's clock was read before the answer arrived, and 2% of the time since then is
/// subtracted for different clock rates. Nothing when the deadline has passed.
std::optional<std::uint64_t> start_by_ms(const clock_reading& reading, steady_time deadline,
                                         steady_time now);

}  // namespace mimosavalve::traffic
