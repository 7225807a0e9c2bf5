#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "mimosavalve/control/timing.hpp"
#include "mimosavalve/core/types.hpp"
#include "mimosavalve/ownership/shard_state.hpp"

namespace mimosavalve::control {

/// A router that can become or remain a voter of the shard.
struct candidate {
    instance_id id;
    std::string address;
    std::string failure_domain;
    bool alive = true;     ///< Whether a renewal from it was received within `peer_timeout`.
    bool leaving = false;  ///< Whether it is stopping or its failure domain is removed.
};

/// One change of the voter set, with its reason: one voter added or removed, or the weight of the
/// store changed by one.
struct membership_step {
    std::vector<ownership::voter> voters;
    std::uint32_t store_weight = 1;
    std::string reason;
};

/// Returns the next step towards at most `max_voters` live voters spread over failure domains, with
/// a store weight equal to the largest number of voters in one domain; nothing when that is
/// reached. A step changes the total weight by exactly one, so that each quorum of the old state
/// intersects each quorum of the new one. The leader is never removed. The caller must wait until
/// the previous step is in force.
std::optional<membership_step> next_membership_step(const ownership::shard_state& state,
                                                    std::span<const candidate> candidates,
                                                    const timing& intervals);

/// Returns the rank of a process among the candidates for the leadership of a shard; the candidate
/// of rank 0 tries first. Rendezvous hashing spreads the leaders over the hosts.
std::size_t leader_rank(const shard_id& shard, const instance_id& self,
                        std::span<const ownership::voter> voters);

}  // namespace mimosavalve::control
