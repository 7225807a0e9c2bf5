#include "router/evidence_merge.hpp"

#include <algorithm>

namespace mimosavalve::router {

namespace detail {

void merge_entry(merged_evidence& merged, const adapters::target_evidence& evidence) {
    if (evidence.instance != 0) {
        merged.instance = evidence.instance;
    }
    if (evidence.last_success > merged.last_success) {
        merged.last_success = evidence.last_success;
        ++merged.successes;
    }
    if (evidence.consecutive_failures == 0) {
        return;
    }
    const bool is_first = merged.consecutive_failures == 0;
    merged.first_failure =
        is_first ? evidence.first_failure : std::min(merged.first_failure, evidence.first_failure);
    merged.consecutive_failures =
        std::max(merged.consecutive_failures, evidence.consecutive_failures);
}

}  // namespace detail

void merge_evidence(evidence_merge& merge, std::span<const adapters::target_evidence> evidence) {
    for (const auto& entry : evidence) {
        detail::merge_entry(merge.targets[entry.target], entry);
    }
}

control::traffic_report extract_report(evidence_merge& merge) {
    control::traffic_report report;
    for (const auto& [id, merged] : merge.targets) {
        control::target_evidence entry;
        entry.target = id;
        entry.instance = merged.instance;
        entry.successes = merged.successes;
        if (merged.first_failure > merged.last_success) {
            entry.consecutive_failures = merged.consecutive_failures;
            entry.failing_since = merged.first_failure;
        }
        report.evidence.push_back(std::move(entry));
    }
    merge.targets.clear();
    return report;
}

}  // namespace mimosavalve::router
