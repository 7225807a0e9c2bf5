#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace mimosavalve::ownership {

/// Number of a slot. Each service has slots of its own in each region.
using slot_number = std::uint32_t;

/// Slot of a key: xxh64 of "service/account/id" modulo `slots_per_region`.
/// `slots_per_region` must not be zero.
slot_number slot_of(std::string_view service, std::string_view account, std::string_view id,
                    std::uint32_t slots_per_region);

/// Shard of a region to which a slot belongs. A shard holds consecutive slots; the counts of slots
/// of any two shards differ by at most one.
std::uint32_t shard_of(slot_number slot, std::uint32_t slots_per_region,
                       std::uint32_t shards_per_region);

/// Home region of a key, chosen from `regions` by rendezvous hashing, so that adding a region moves
/// only the keys that get the new region as their home. Empty when `regions` is empty.
std::string_view region_of(std::string_view service, std::string_view account, std::string_view id,
                           std::span<const std::string> regions);

/// 64-bit hash for rendezvous hashing and fingerprints. The result is the same on every host.
std::uint64_t hash_of(std::string_view text, std::uint64_t seed = 0);

}  // namespace mimosavalve::ownership
