#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "mimosavalve/gateway/clock.hpp"
#include "mimosavalve/gateway/key_load.hpp"
#include "mimosavalve/gateway/key_map.hpp"

namespace mimosavalve::gateway {

/// Exponentially decaying rate of requests per second of each key, summed over all routers.
struct key_rates {
    std::vector<float> by_key = std::vector<float>(key_count, 0.0F);
    boot_time decayed_at;  ///< Time of the last decay; `boot_time{}` before the first report.
};

/// Adds the requests of one report.
void add_load(key_rates& rates, const key_load& load, boot_time now);
/// Decays all rates to `now`.
void decay(key_rates& rates, boot_time now);
/// Sum of the rates of the keys `first` to `last`, both inclusive.
double rate_of(const key_rates& rates, std::uint32_t first, std::uint32_t last);

/// A target that may own keys.
struct key_candidate {
    std::string id;
    std::uint64_t instance = 0;  ///< Start of its process, Unix ms.
    double capacity = 1;         ///< Requests per second that it can handle.
};

/// A range of keys, both ends inclusive, that gets a new owner or a new fence.
struct planned_move {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::string to;
    std::uint64_t to_instance = 0;  ///< Start of the new owner's process, Unix ms.

    bool operator==(const planned_move&) const = default;
};

/// Plans moves of unassigned keys: keys without an owner, or whose owner instance is not a
/// candidate. They go to the candidates with the lowest load relative to their capacity. Keys that
/// are already moving are left out.
std::vector<planned_move> plan_unassigned(const key_map& map, const key_rates& rates,
                                          const std::vector<key_candidate>& candidates);

/// Plans moves away from owners whose load is above `busy_fraction` of their capacity and well
/// above the mean (see key_plan.cpp), to candidates with spare capacity; the narrowest ranges that
/// relieve the owner are moved. This handles a load in which a few neighbouring keys are busy and
/// change within seconds. Returns at most `max_moves` moves.
std::vector<planned_move> plan_balance(const key_map& map, const key_rates& rates,
                                       const std::vector<key_candidate>& candidates,
                                       std::size_t max_moves);

/// Plans one new fence for neighbouring ranges of the same owner, so that one grant covers them.
/// Returns at most `max_moves` moves.
std::vector<planned_move> plan_shared_fences(const key_map& map,
                                             const std::vector<key_candidate>& candidates,
                                             std::size_t max_moves);

/// Plans moves of the ranges with the lowest rates to the owner of a neighbouring range, when there
/// are more than `ranges_per_owner` (see key_plan.cpp) ranges per candidate. Returns at most
/// `max_moves` moves.
std::vector<planned_move> plan_merge(const key_map& map, const key_rates& rates,
                                     const std::vector<key_candidate>& candidates,
                                     std::size_t max_moves);

}  // namespace mimosavalve::gateway
