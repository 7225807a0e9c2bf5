#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "mimosavalve/ownership/shard_state.hpp"
#include "mimosavalve/ownership/slot.hpp"

namespace mimosavalve::ownership {

/// Slots of one service that belong to the shard.
struct slot_range {
    std::string service;
    slot_number first_slot = 0;
    std::uint32_t count = 0;

    bool operator==(const slot_range&) const = default;
};

/// Requests that routers counted for a slot; slots that are not named had few.
struct slot_load {
    std::string service;
    slot_number slot = 0;
    std::uint64_t requests = 0;
};

/// A run of slots that gets a new owner.
struct slot_move {
    slot_range slots;
    std::string owner;
    std::string reason;
};

/// Ratios of the highest to the mean load per capacity.
struct rebalance_limits {
    double start_above = 1.25;
    double stop_below = 1.15;
    std::uint32_t moves_per_round = 8;  ///< Slots moved in one round.
};

/// Slots of a shard: the consecutive slots that `shard_of` gives to it.
slot_range slots_of_shard(std::string_view service, std::uint32_t slots_per_region,
                          std::uint32_t shards_per_region, std::uint32_t shard);

/// Gives slots without an owner, or whose owner is not active, to active targets. Slots never
/// assigned are spread in proportion to capacity with failure domains interleaved; slots of a lost
/// or leaving target go to the targets with the lowest load per capacity. No other slot moves.
std::vector<slot_move> place_slots(const shard_state& state, std::span<const slot_range> ranges,
                                   std::span<const slot_load> load);

/// Moves a few slots from the most to the least loaded target of a service. `rebalancing` carries
/// the hysteresis from round to round.
std::vector<slot_move> rebalance(const shard_state& state, std::span<const slot_range> ranges,
                                 std::span<const slot_load> load, const rebalance_limits& limits,
                                 bool& rebalancing);

}  // namespace mimosavalve::ownership
