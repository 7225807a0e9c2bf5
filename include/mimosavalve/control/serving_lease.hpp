#pragma once

#include <span>
#include <vector>

#include "mimosavalve/core/types.hpp"
#include "mimosavalve/ownership/shard_state.hpp"

namespace mimosavalve::control {

/// A voter's confirmation as its receiver counts it: from before the request was sent.
struct confirmation {
    instance_id voter;
    steady_time until;
    steady_time store_vote_until;  ///< End of the store's vote that the leader carries; else 0.
};

/// Adds a confirmation. Ends only move forward.
void add_confirmation(std::vector<confirmation>& held, const confirmation& added);

/// End of the serving lease: the latest time at which a quorum of the state's weight is confirmed.
/// Confirmations of processes that are not voters of the state do not count; the store's vote
/// counts once. The epoch of the clock when there was never a quorum.
steady_time lease_end(std::span<const confirmation> held, const ownership::shard_state& state);

/// Whether confirmations for `older` also hold for `newer`. With the same voters and weight, any
/// quorum for a third version meets the voters that made them, and they name this router. With
/// other weights two steps may lie in between, and the quorums could miss each other.
bool confirmations_carry_over(const ownership::shard_state& older,
                              const ownership::shard_state& newer);

}  // namespace mimosavalve::control
