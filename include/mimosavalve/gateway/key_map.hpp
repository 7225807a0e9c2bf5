#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace mimosavalve::gateway {

/// Number of keys of a keyed service; keys are 0 to `key_count - 1`.
inline constexpr std::uint32_t key_count = 65536;

/// Keys `first` to `last`, both inclusive, and their owner.
struct key_segment {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::string owner;  ///< Target id; empty: no owner.
    /// Higher than the fence of every earlier owner of these keys. A counter of the key decider,
    /// not a `version` as in core/types.hpp.
    std::uint64_t fence = 0;
    bool moving = false;  ///< The owner is changing and requests wait; not stored.
    /// Start of the owner's process, Unix ms; another instance holds no keys.
    std::uint64_t owner_instance = 0;
    /// While moving, expected time until the next owner serves; not stored.
    std::uint32_t wait_ms = 0;

    bool operator==(const key_segment&) const = default;
};

/// Owners of all keys of one service: sorted, without gaps or overlaps.
struct key_map {
    std::vector<key_segment> segments{{0, key_count - 1, "", 0, false, 0, 0}};

    bool operator==(const key_map&) const = default;
};

/// The segment that contains the key.
const key_segment& segment_of(const key_map& map, std::uint32_t key);

/// Highest fence of any segment. It rises with each change of an owner.
std::uint64_t highest_fence(const key_map& map);

/// Replaces the segment data of the range `change.first` to `change.last`, then calls `join_equal`.
void assign(key_map& map, const key_segment& change);

/// Joins neighbouring segments with the same owner, owner instance, fence and `moving`.
void join_equal(key_map& map);

/// Segments of one owner.
std::vector<key_segment> segments_of(const key_map& map, std::string_view owner);

/// Fraction of all keys whose owner differs between the maps, 0 to 1.
double moved_fraction(const key_map& before, const key_map& after);

/// Description of the first gap or overlap; empty when the map is sorted, complete and without
/// overlaps.
std::string problem_of(const key_map& map);

}  // namespace mimosavalve::gateway
