#pragma once

#include <cstdint>
#include <map>
#include <vector>

namespace mimosavalve::gateway {

/// Requests counted by key since the last report, in bounded memory: when there are too many
/// different keys, neighbours share a counter.
struct key_load {
    std::map<std::uint32_t, std::uint32_t> counts;  ///< By first key of a counter.
    std::uint32_t keys_per_counter = 1;
};

/// Counters that one report holds at most (about 8 bytes each on the wire).
inline constexpr std::size_t most_counters = 512;

void count_key(key_load& load, std::uint32_t key);

}  // namespace mimosavalve::gateway
