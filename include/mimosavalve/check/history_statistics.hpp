#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>

#include "mimosavalve/check/history.hpp"
#include "mimosavalve/load/outage_tracker.hpp"

namespace mimosavalve::check {

/// Starts of the targets of one service in one region.
struct service_balance {
    std::uint64_t targets = 0;
    std::uint64_t starts = 0;
    std::uint64_t most_starts = 0;  ///< Of one target.

    /// Starts of the busiest target over the mean; 0 without starts.
    [[nodiscard]] double imbalance() const;
};

struct history_statistics {
    std::uint64_t attempts = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t starts = 0;
    std::uint64_t owners_moved = 0;  ///< Starts of a slot on another target than the one before.
    std::map<std::string, service_balance> services;  ///< By "region/service".
    load::outage_tracker outages;
};

history_statistics measure_history(const history& measured);
void print(std::ostream& out, const history_statistics& statistics);

}  // namespace mimosavalve::check
