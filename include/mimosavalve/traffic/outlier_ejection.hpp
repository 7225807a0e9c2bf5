#pragma once

#include <chrono>
#include <cstdint>
#include <span>

#include "mimosavalve/core/types.hpp"

namespace mimosavalve::traffic {

/// Latency of one target of an unkeyed service. A straggler among many targets sets the tail
/// latency of the whole service, and its work can go elsewhere.
struct target_latency {
    double mean_ms = 0;
    std::uint32_t samples = 0;
    std::uint32_t ejections = 0;  ///< In a row; each lasts longer.
    steady_time ejected_until;    ///< No work before this time.
    bool on_trial = false;        ///< Back after an ejection: one request at a time.
};

void record(target_latency& target, std::chrono::microseconds latency);

/// Whether the target may get a request while it runs `running` others.
bool may_take(target_latency& target, std::uint32_t running, steady_time now);

/// Ejects the target when its latency is over 3 times the median of its service, unless a third of
/// the targets would then be out. Judged after 20 answers, on trial after 3. `all` includes it.
bool judge(target_latency& target, std::span<const target_latency* const> all, steady_time now);

}  // namespace mimosavalve::traffic
