#pragma once

#include <chrono>
#include <cstdint>

#include "mimosavalve/core/types.hpp"

namespace mimosavalve::traffic {

/// Ramp of a fresh target, whose caches are cold: at full load it would fail at once. The allowance
/// counts requests in flight over all routers; each thread takes its share of it.
struct slow_start {
    bool ramping = false;
    double allowance = 1;         ///< Requests in flight over all routers.
    double largest = 1;           ///< The ramp ends here.
    std::uint32_t successes = 0;  ///< Of this thread since the last doubling.
    double median_ms = 0;         ///< Running median of the latency; 0 before the first answer.
    std::uint32_t jumps = 0;      ///< Recent latencies over 3 times the median.
    std::uint32_t refusals = 0;   ///< Recent refusals.
    steady_time turn_end;         ///< Until then the last drawn turn holds.
    bool has_turn = false;
};

/// Allowance at which the ramp ends: twice the target's slots, since beyond that requests only wait
/// at the target and the adaptive window limits them; never more than its connections.
std::uint32_t ramp_end(std::uint32_t slots, std::uint32_t connections);

/// Starts the ramp, which ends at the allowance `end`.
void restart(slow_start& ramp, std::uint32_t end);

/// Whether one more request may run. With a share below 1 a turn of 20 ms is drawn with the share
/// as its chance (`random` from 0 to 1), so that over all threads the allowance holds on average.
bool may_start(slow_start& ramp, std::uint32_t running, std::uint32_t sharers, double random,
               steady_time now);

/// Doubles the allowance with each `slots * 8` successes over all threads, unless the latency grew.
/// A jump of the latency together with refusals starts the ramp again: the target is cold.
void record_success(slow_start& ramp, std::chrono::microseconds latency, std::uint32_t slots,
                    std::uint32_t end, std::uint32_t sharers);
void record_refusal(slow_start& ramp);

}  // namespace mimosavalve::traffic
