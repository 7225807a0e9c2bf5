#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "mimosavalve/control/timing.hpp"
#include "mimosavalve/core/types.hpp"
#include "mimosavalve/ownership/shard_state.hpp"

namespace mimosavalve::control {

/// A router that could be a voter of the shard.
struct candidate {
    instance_id id;
    std::string address;
    std::string failure_domain;
    bool alive = true;     ///< Heard within `voter_timeout`.
    bool leaving = false;  ///< It stops, or its failure domain is removed.
};

/// One step of the voter set: the state with one weight changed, and why.
struct membership_step {
    std::vector<ownership::voter> voters;
    std::uint32_t store_weight = 1;
    std::string reason;
};

/// Next step towards at most `most_voters` live voters spread over failure domains and a store
/// weight of the largest number of voters in one domain. Changes the total weight by exactly one,
/// so that a quorum of the old and a quorum of the new state always meet. Nothing when there is
/// nothing to do. The leader is never removed. The caller waits until the last step is in force.
std::optional<membership_step> next_membership_step(const ownership::shard_state& state,
                                                    std::span<const candidate> candidates,
                                                    const timing& intervals);

/// Rank of a process among candidates for the leadership of a shard by rendezvous hashing, so that
/// leaders spread over the hosts; 0 goes first.
std::size_t leader_rank(const shard_id& shard, const instance_id& self,
                        std::span<const ownership::voter> voters);

}  // namespace mimosavalve::control
