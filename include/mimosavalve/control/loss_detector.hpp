#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "mimosavalve/control/timing.hpp"
#include "mimosavalve/core/types.hpp"
#include "mimosavalve/ownership/shard_state.hpp"

namespace mimosavalve::control {

/// The last report of one router about one target; times are on the leader's clock. Stage of the
/// report: kept by the leader, which detects losses from it.
struct target_observation {
    std::string target;
    instance_id router;
    std::string failure_domain;  ///< Failure domain of the router.
    steady_time received;
    /// Start of the first request or probe of the current series of failures.
    std::optional<steady_time> failing_since;
    std::optional<steady_time> last_success;
};

/// Recent losses of one target.
struct target_history {
    std::string target;
    std::vector<steady_time> losses;  ///< Times at which it was declared lost, oldest first.
};

/// State of the loss detector of one leader.
struct loss_detector {
    std::vector<target_observation> observations;
    std::vector<target_history> history;
    /// Time since which most targets of two or more failure domains look lost.
    std::optional<steady_time> multi_domain_loss_since;
};

/// Replaces the router's previous report about the target. A report without a success keeps the
/// success of the previous one.
void record_observation(loss_detector& detector, target_observation seen);

/// Discards observations received earlier than `before`; their routers are gone.
void discard_observations(loss_detector& detector, steady_time before);

/// Returns the latest success that any router has reported.
std::optional<steady_time> last_success(const loss_detector& detector, std::string_view target);

/// Whether the evidence suffices to declare the target lost: for at least `min_failure_duration`
/// there has been no success at any router; and either the attempts of two or more routers, one of
/// them outside the target's failure domain, or those of all routers that tried have failed.
bool has_loss_evidence(const loss_detector& detector, const ownership::target& target,
                       steady_time now, const timing& intervals);

/// Returns the targets of the list to declare lost now. While more than half of the targets of each
/// of two or more failure domains look lost, the observers are more likely cut off; the result is
/// then empty for `multi_domain_loss_delay`. The caller must hold a valid serving lease.
std::vector<std::string> lost_targets(loss_detector& detector,
                                      std::span<const ownership::target> targets, steady_time now,
                                      const timing& intervals);

/// Counts a declared loss and discards the evidence that led to it.
void record_loss(loss_detector& detector, std::string_view target, steady_time now,
                 const timing& intervals);

/// Returns the earliest time at which a lost target may be used again.
steady_time earliest_return(const loss_detector& detector, std::string_view target,
                            const timing& intervals);

}  // namespace mimosavalve::control
