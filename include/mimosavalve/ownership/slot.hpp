#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace mimosavalve::ownership {

/// Slots of one service in one region.
using slot_number = std::uint32_t;

/// Slot of a key: xxh64 of "service/account/id" modulo `slots_per_region`.
/// `slots_per_region` must not be zero.
slot_number slot_of(std::string_view service, std::string_view account, std::string_view id,
                    std::uint32_t slots_per_region);

/// Shard of a region that a slot belongs to. Shards hold consecutive slots of equal number.
std::uint32_t shard_of(slot_number slot, std::uint32_t slots_per_region,
                       std::uint32_t shards_per_region);

/// Home of a key among `regions` by rendezvous hashing, so that adding a region moves only the keys
/// that the new region wins. Empty when `regions` is empty.
std::string_view region_of(std::string_view service, std::string_view account, std::string_view id,
                           std::span<const std::string> regions);

/// 64-bit hash for rendezvous choices and fingerprints; the same on every host.
std::uint64_t hash_of(std::string_view text, std::uint64_t seed = 0);

}  // namespace mimosavalve::ownership
