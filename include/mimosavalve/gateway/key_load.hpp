#pragma once

#include <cstdint>
#include <map>
#include <vector>

namespace mimosavalve::gateway {

/// Number of requests by key since the last report, in bounded memory: when there are too many
/// different keys, neighbouring keys share a counter.
struct key_load {
    std::map<std::uint32_t, std::uint32_t> counts;  ///< By the first key that the counter covers.
    std::uint32_t keys_per_counter = 1;
};

/// Maximum number of counters in one report (about 8 bytes each on the wire).
inline constexpr std::size_t max_counters = 512;

/// Counts one request; doubles the keys per counter while there are more than `max_counters`.
void count_key(key_load& load, std::uint32_t key);

}  // namespace mimosavalve::gateway
