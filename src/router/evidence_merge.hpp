#pragma once

#include <map>
#include <span>
#include <string>

#include "mimosavalve/adapters/target_pool.hpp"
#include "mimosavalve/control/control_plane.hpp"

namespace mimosavalve::router {

/// What all traffic threads together have seen of a target since the last report.
struct merged_evidence {
    std::uint64_t instance = 0;
    std::uint32_t successes = 0;
    std::uint32_t consecutive_failures = 0;
    steady_time last_success;
    steady_time first_failure;
};

/// Joins the evidence of several threads, so that a success on one thread ends the failures that
/// another one saw before it.
struct evidence_merge {
    std::map<std::string, merged_evidence, std::less<>> targets;
};

void add(evidence_merge& merge, std::span<const adapters::target_evidence> evidence);

/// Evidence since the last call, in the form of the control thread.
control::traffic_report take_report(evidence_merge& merge);

}  // namespace mimosavalve::router
