#pragma once

#include <chrono>
#include <cstdint>

#include "mimosavalve/core/types.hpp"

namespace mimosavalve::adapters {

/// A reading of a target's monotonic clock.
struct clock_reading {
    std::uint64_t clock_ms = 0;
    std::uint64_t instance = 0;  ///< Run of the target that the clock belongs to.
    steady_time arrived;         ///< When the answer with the reading arrived.
};

/// Maps a deadline to the target's clock so that it is never later than the true deadline: the
/// reading was taken before it arrived, and the remaining time is shortened by 2% in case the
/// target's clock is slow. A deadline before the reading's arrival gives the reading itself.
std::uint64_t map_deadline(const clock_reading& reading, steady_time deadline);

/// Whether the reading may still be used. Old ones are not: the target may have restarted, and the
/// shortening by 2% grows with age.
bool is_fresh(const clock_reading& reading, steady_time now);

}  // namespace mimosavalve::adapters
