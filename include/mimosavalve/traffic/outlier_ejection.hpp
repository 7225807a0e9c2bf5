#pragma once

#include <chrono>
#include <cstdint>
#include <span>

#include "mimosavalve/core/types.hpp"

namespace mimosavalve::traffic {

/// Latency of one target of an unkeyed service. One slow target among many determines the tail
/// latency of the whole service, while its requests could go to other targets.
struct target_latency {
    double mean_ms = 0;                       ///< Moving average since the last ejection.
    std::uint32_t samples = 0;                ///< Number of answers since the last ejection.
    std::uint32_t consecutive_ejections = 0;  ///< Each ejection in a row lasts longer.
    steady_time ejected_until;                ///< The target gets no requests before this time.
    /// Since an ejection: one request at a time, until the latency is normal.
    bool is_on_probation = false;
};

/// Adds the latency of one answer.
void record_latency(target_latency& target, std::chrono::microseconds latency);

/// Whether the target may get a request while it has `in_flight` others.
bool can_accept_request(target_latency& target, std::uint32_t in_flight, steady_time now);

/// Ejects the target when its latency exceeds 3 times the median of its service, unless more than a
/// third of the targets would then be ejected. True when it was ejected. Decides after 20 answers,
/// on probation after 3. `all` are the targets of the service, `target` included.
bool eject_if_outlier(target_latency& target, std::span<const target_latency* const> all,
                      steady_time now);

}  // namespace mimosavalve::traffic
