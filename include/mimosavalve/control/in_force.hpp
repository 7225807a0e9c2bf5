#pragma once

#include <span>
#include <string>
#include <vector>

#include "mimosavalve/control/voter.hpp"
#include "mimosavalve/core/types.hpp"
#include "mimosavalve/ownership/shard_state.hpp"

namespace mimosavalve::control {

/// A router that may still act on a version older than the one that is being put in force.
struct lagging_router {
    instance_id router;
    std::string address;
    steady_time until;  ///< By then its confirmations for older versions have ended.
};

/// What the leader has learnt about the spread of one version.
struct in_force_progress {
    version at;
    std::vector<instance_id> accepted;  ///< Voters that accepted it.
    std::vector<lagging_router> lagging;
    std::vector<instance_id> drained;  ///< Routers that have nothing older in flight.
};

/// Starts over for a newer version.
in_force_progress start_progress(const version& at);

/// A voter accepted the version and named the routers with promises for older ones.
void note_accepted(in_force_progress& progress, const instance_id& voter,
                   std::span<const lagging_router> lagging);

/// A router holds the version and has nothing in flight that contradicts it.
void note_drained(in_force_progress& progress, const instance_id& router);

/// Whether no router can act on an older version any more. `store_vote` says that the caller's
/// store lease is valid at `now`.
bool is_in_force(const in_force_progress& progress, const ownership::shard_state& state,
                 bool store_vote, steady_time now);

}  // namespace mimosavalve::control
