#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace mimosavalve::gateway {

/// Number of keys of a keyed service; keys are 0 to `key_count - 1`.
inline constexpr std::uint32_t key_count = 65536;

/// Keys `first` to `last`, both inclusive, and who serves them.
struct key_segment {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::string owner;            ///< Target id; empty: nobody.
    std::uint64_t fence = 0;      ///< Above the fence of every earlier owner of these keys.
    bool moving = false;          ///< Not recorded: the owner is changing, requests wait.
    std::uint64_t owner_run = 0;  ///< Start of the owner's run, Unix ms; another run holds nothing.
    std::uint32_t wait_ms = 0;  ///< Not recorded: when moving, expected time until the next owner.

    bool operator==(const key_segment&) const = default;
};

/// Owners of all keys of one service: sorted, without gaps or overlaps.
struct key_map {
    std::vector<key_segment> segments{{0, key_count - 1, "", 0, false, 0, 0}};

    bool operator==(const key_map&) const = default;
};

const key_segment& segment_of(const key_map& map, std::uint32_t key);

/// Replaces owner, fence and mark of a range. Neighbours that end up equal are joined.
void assign(key_map& map, const key_segment& change);

/// Joins neighbours with the same owner, fence and mark.
void join_equal(key_map& map);

/// Segments of one owner.
std::vector<key_segment> segments_of(const key_map& map, std::string_view owner);

/// Share of all keys whose owner differs, 0 to 1.
double share_moved(const key_map& before, const key_map& after);

/// Empty when the map is sorted, complete and without overlaps.
std::string problem_of(const key_map& map);

}  // namespace mimosavalve::gateway
