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
    steady_time until;  ///< Time at which its confirmations for older versions have ended.
};

/// What the leader has received about the acceptance of one version.
struct in_force_progress {
    version state_version;
    std::vector<instance_id> accepted;    ///< Voters that accepted the version.
    std::vector<lagging_router> lagging;  ///< Routers with confirmations for older versions.
    /// Routers at which the version is drained (see `control_outputs::drained`).
    std::vector<instance_id> drained;
};

/// Returns empty progress for a new version.
in_force_progress start_progress(const version& state_version);

/// Records that a voter accepted the version, with the routers that hold its confirmations
/// for older versions.
void record_accepted(in_force_progress& progress, const instance_id& voter,
                     std::span<const lagging_router> lagging);

/// Records that the version is drained at a router.
void record_drained(in_force_progress& progress, const instance_id& router);

/// Whether a quorum has accepted the version and no router can act on an older one any more.
/// `has_store_vote` states that the caller's store lease is valid at `now`.
bool is_in_force(const in_force_progress& progress, const ownership::shard_state& state,
                 bool has_store_vote, steady_time now);

}  // namespace mimosavalve::control
