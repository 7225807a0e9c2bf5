#pragma once

#include <chrono>
#include <cstdint>

#include "mimosavalve/core/types.hpp"

namespace mimosavalve::traffic {

/// Adaptive limit of the requests that one thread may have in flight at a target. A target refuses
/// requests above its capacity, and the load that it reports is outdated when it arrives, so the
/// limit follows its answers: it rises slowly on successes and falls at once on refusals and on
/// growing latency.
struct target_window {
    double limit = 1;
    double min_limit = 1;            ///< This thread's share of the target's slots; at least 1.
    double max_limit = 1;            ///< This thread's share of the target's connections.
    double baseline_latency_ms = 0;  ///< Slow moving average; 0 before the first answer.
    double recent_latency_ms = 0;    ///< Fast moving average.
    steady_time last_decrease;
};

/// Sets the bounds of the limit. `sharers` is the number of threads on all routers that send to the
/// target.
void set_bounds(target_window& window, std::uint32_t slots, std::uint32_t connections,
                std::uint32_t sharers);

/// Whether a thread with `in_flight` requests may send one more.
bool has_room(const target_window& window, std::uint32_t in_flight);

void record_success(target_window& window, std::chrono::microseconds latency, steady_time now);
void record_refusal(target_window& window, steady_time now);

/// Estimated wait of a request that has `queued` others before it.
std::chrono::microseconds expected_wait(const target_window& window, std::size_t queued);

}  // namespace mimosavalve::traffic
