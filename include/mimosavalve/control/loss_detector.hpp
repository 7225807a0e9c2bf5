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

/// What one router last reported about one target, on the leader's clock.
struct target_observation {
    std::string target;
    instance_id router;
    std::string failure_domain;  ///< Of the router.
    steady_time received;
    std::optional<steady_time> failing_since;  ///< Start of the first unanswered request or probe.
    std::optional<steady_time> last_success;
};

/// Losses and returns of one target.
struct target_history {
    std::string target;
    std::vector<steady_time> losses;
};

/// State of the detector of one leader.
struct loss_detector {
    std::vector<target_observation> observations;
    std::vector<target_history> history;
    std::optional<steady_time> wide_loss_since;
};

/// Replaces what the router said before about the target.
void observe(loss_detector& detector, target_observation seen);

/// Forgets observations older than `before`: their routers are gone.
void forget_observations(loss_detector& detector, steady_time before);

/// Latest success that any router reported.
std::optional<steady_time> last_success(const loss_detector& detector, std::string_view target);

/// Whether the evidence is enough: failures for longer than `loss_after`, no later success at any
/// router, and two routers with one outside the target's failure domain, or all that tried.
bool looks_lost(const loss_detector& detector, const ownership::target& target, steady_time now,
                const timing& intervals);

/// Targets of the list to declare lost now. Holds back while more than half of the targets of two
/// or more failure domains look lost, since the observers are then more likely cut off. The caller
/// must hold a valid serving lease.
std::vector<std::string> lost_targets(loss_detector& detector,
                                      std::span<const ownership::target> targets, steady_time now,
                                      const timing& intervals);

/// Counts a declared loss and drops the evidence that led to it.
void note_lost(loss_detector& detector, std::string_view target, steady_time now,
               const timing& intervals);

/// Earliest time at which a lost target may be used again.
steady_time may_return_at(const loss_detector& detector, std::string_view target,
                          const timing& intervals);

}  // namespace mimosavalve::control
