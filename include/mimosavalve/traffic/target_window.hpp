#pragma once

#include <chrono>
#include <cstdint>

#include "mimosavalve/core/types.hpp"

namespace mimosavalve::traffic {

/// Requests that one thread may have running at a target. A target sheds load when it gets more
/// than it can bear, and its load endpoint lags, so the limit follows what it answers: it rises
/// slowly on successes and falls at once on refusals and on latency that grows.
struct target_window {
    double limit = 1;
    double smallest = 1;          ///< Share of the target's slots.
    double largest = 1;           ///< Share of the target's connections.
    double usual_latency_ms = 0;  ///< Slow mean; 0 before the first answer.
    double latency_ms = 0;        ///< Fast mean.
    steady_time decreased;        ///< Last decrease.
};

/// Sets the bounds for `sharers` threads over all routers that send to the target.
void set_bounds(target_window& window, std::uint32_t slots, std::uint32_t connections,
                std::uint32_t sharers);

bool has_room(const target_window& window, std::uint32_t running);

void record_success(target_window& window, std::chrono::microseconds latency, steady_time now);
void record_refusal(target_window& window, steady_time now);

/// Time that a request with `queued` others before it will wait.
std::chrono::microseconds expected_wait(const target_window& window, std::size_t queued);

}  // namespace mimosavalve::traffic
