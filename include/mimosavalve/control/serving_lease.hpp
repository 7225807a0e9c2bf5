#pragma once

#include <span>
#include <vector>

#include "mimosavalve/core/types.hpp"
#include "mimosavalve/ownership/shard_state.hpp"

namespace mimosavalve::control {

/// A voter's confirmation, as recorded by the router that asked for it. The router counts its
/// length from the time just before it sent the request.
struct confirmation {
    instance_id voter;
    steady_time until;
    /// End of the store's vote, which the leader casts; 0 for other voters.
    steady_time store_vote_until;
};

/// Adds a confirmation, or extends the one of the same voter. Ends never move back.
void add_confirmation(std::vector<confirmation>& confirmations, const confirmation& added);

/// Returns the end of the serving lease, which is the latest time up to which a quorum of the
/// state's weight is confirmed. Confirmations of processes that are not voters of the state do not
/// count; the store's vote counts once. Returns the epoch of the clock when there was never a
/// quorum.
steady_time lease_end(std::span<const confirmation> confirmations,
                      const ownership::shard_state& state);

/// Whether confirmations for `older` are also valid for `newer`. With the same voters and store
/// weight, each quorum for a third version includes a voter that gave these confirmations and
/// reports this router to the leader. With other weights two membership steps may lie between the
/// versions, and two quorums may have no voter in common.
bool confirmations_carry_over(const ownership::shard_state& older,
                              const ownership::shard_state& newer);

}  // namespace mimosavalve::control
