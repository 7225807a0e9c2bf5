#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "mimosavalve/ownership/shard_state.hpp"
#include "mimosavalve/ownership/slot.hpp"

namespace mimosavalve::ownership {

/// Consecutive slots of one service that belong to the shard.
struct slot_range {
    std::string service;
    slot_number first_slot = 0;
    std::uint32_t count = 0;

    bool operator==(const slot_range&) const = default;
};

/// Number of requests that routers counted for a slot. Slots with few requests are not listed.
struct slot_load {
    std::string service;
    slot_number slot = 0;
    std::uint64_t requests = 0;
};

/// Consecutive slots that get a new owner.
struct slot_move {
    slot_range slots;
    std::string owner;
    std::string reason;
};

/// Limits of rebalancing. Both ratios are the highest load per capacity of any target divided by
/// the mean load per capacity of the active targets of the service.
struct rebalance_limits {
    double start_above_ratio = 1.25;
    double stop_below_ratio = 1.15;
    /// Maximum number of slots moved per service and round.
    std::uint32_t max_moves_per_round = 8;
};

/// Slots of a service for which `shard_of` returns `shard`.
slot_range slots_of_shard(std::string_view service, std::uint32_t slots_per_region,
                          std::uint32_t shards_per_region, std::uint32_t shard);

/// Assigns slots that have no owner, or whose owner is not active, to active targets. When no slot
/// of a service has been assigned yet, the slots are spread in proportion to capacity with failure
/// domains interleaved; otherwise a slot goes to the target with the lowest load per capacity.
/// Slots with an active owner are not moved.
std::vector<slot_move> place_slots(const shard_state& state, std::span<const slot_range> ranges,
                                   std::span<const slot_load> load);

/// Moves a few slots of each service from its most loaded to its least loaded target. `rebalancing`
/// keeps the state of the hysteresis: as input, whether the previous round moved slots, so that the
/// lower limit applies; as output, whether this round did.
std::vector<slot_move> rebalance(const shard_state& state, std::span<const slot_range> ranges,
                                 std::span<const slot_load> load, const rebalance_limits& limits,
                                 bool& rebalancing);

}  // namespace mimosavalve::ownership
