#pragma once

#include <map>
#include <span>
#include <string>

#include "mimosavalve/adapters/target_pool.hpp"
#include "mimosavalve/control/control_plane.hpp"

namespace mimosavalve::router {

/// Evidence about one target from all traffic threads since the last report.
struct merged_evidence {
    std::uint64_t instance = 0;
    std::uint32_t successes = 0;
    std::uint32_t consecutive_failures = 0;
    steady_time last_success;
    steady_time first_failure;
};

/// Merges the evidence of several threads, so that a success on one thread ends a series of
/// failures that another thread recorded before it.
struct evidence_merge {
    std::map<std::string, merged_evidence, std::less<>> targets;
};

void merge_evidence(evidence_merge& merge, std::span<const adapters::target_evidence> evidence);

/// Returns the evidence since the last call as the control thread's report, and clears it.
control::traffic_report extract_report(evidence_merge& merge);

}  // namespace mimosavalve::router
