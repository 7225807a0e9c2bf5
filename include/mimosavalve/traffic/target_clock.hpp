#pragma once

#include <cstdint>
#include <optional>

#include "mimosavalve/core/types.hpp"

namespace mimosavalve::traffic {

/// A target's own monotonic clock as read from one of its answers.
struct clock_reading {
    std::uint64_t clock_ms = 0;
    std::uint64_t instance = 0;  ///< Run of the target that the clock belongs to.
    steady_time received;        ///< When the answer arrived here.
};

/// Whether the reading is young enough that clock rates that differ by 2% shift a deadline by no
/// more than a fraction of `start_window`.
bool is_usable(const clock_reading& reading, steady_time now);

/// Whether the reading may be used on a connection opened at `opened` to an instance that is not
/// known yet. A restarted target may have another clock, so only a reading of the last second is
/// taken; an older one needs a probe on the new connection.
bool is_usable_on_new_connection(const clock_reading& reading, steady_time opened);

/// `Start-By` value: `deadline` in the target's clock, in ms. Never later than the true deadline:
/// the reading was taken before it arrived, and 2% is taken off for clock rate. Nothing when the
/// deadline has passed.
std::optional<std::uint64_t> start_by_ms(const clock_reading& reading, steady_time deadline,
                                         steady_time now);

}  // namespace mimosavalve::traffic
