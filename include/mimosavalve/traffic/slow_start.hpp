#pragma once

#include <chrono>
#include <cstdint>

#include "mimosavalve/core/types.hpp"

namespace mimosavalve::traffic {

/// Slow start of a fresh target. Its caches are cold, so at full load it would fail at once. The
/// limit applies to the requests in flight from all routers; each thread uses an equal share of it.
struct slow_start {
    bool ramping = false;
    double limit = 1;              ///< Maximum of requests in flight from all routers together.
    double max_limit = 1;          ///< The ramp ends at this limit.
    std::uint32_t successes = 0;   ///< Successes on this thread since the limit was last doubled.
    double median_latency_ms = 0;  ///< Running median; 0 before the first answer.
    /// Latencies above 3 times the median; each other success subtracts one.
    std::uint32_t latency_jumps = 0;
    /// Refusals by the target; each success that leaves `latency_jumps` at 0 subtracts one.
    std::uint32_t refusals = 0;
    /// End of the interval for which `may_send_in_interval` was decided.
    steady_time interval_end;
    /// Whether one request may be in flight during the interval.
    bool may_send_in_interval = false;
};

/// Limit at which the ramp ends: twice the target's slots, but at most its connections. Beyond
/// twice the slots requests only wait at the target, and the adaptive window limits them.
std::uint32_t max_ramp_limit(std::uint32_t slots, std::uint32_t connections);

/// Starts the ramp at a limit of 1, to end at `max_limit`.
void restart_ramp(slow_start& ramp, std::uint32_t max_limit);

/// Whether a thread with `in_flight` requests may send one more; `sharers` is the number of threads
/// on all routers. While a thread's share of the limit is below 1, it decides at random, once per
/// interval of 20 ms, whether it may have one request in flight; the probability is its share
/// (`random` from 0 to 1), so that all threads together keep the limit on average.
bool can_start_request(slow_start& ramp, std::uint32_t in_flight, std::uint32_t sharers,
                       double random, steady_time now);

/// Doubles the limit after each `slots * 8` successes on all threads, without those whose latency
/// jumped. Latency jumps together with refusals show that the target is cold and restart the ramp,
/// to end at `max_limit`.
void record_success(slow_start& ramp, std::chrono::microseconds latency, std::uint32_t slots,
                    std::uint32_t max_limit, std::uint32_t sharers);

/// Records that the target refused a request.
void record_refusal(slow_start& ramp);

}  // namespace mimosavalve::traffic
