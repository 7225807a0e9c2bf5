#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "mimosavalve/gateway/clock.hpp"
#include "mimosavalve/gateway/key_load.hpp"
#include "mimosavalve/gateway/key_map.hpp"

namespace mimosavalve::gateway {

/// Requests per second of each key, decayed, over all routers.
struct key_rates {
    std::vector<float> by_key = std::vector<float>(key_count, 0.0F);
    boot_time decayed;  ///< The epoch before the first report.
};

void add_load(key_rates& rates, const key_load& load, boot_time now);
void decay(key_rates& rates, boot_time now);
double rate_of(const key_rates& rates, std::uint32_t first, std::uint32_t last);

/// A target that may own keys.
struct key_candidate {
    std::string id;
    std::uint64_t run = 0;
    double capacity = 1;  ///< Requests per second that it can run.
};

/// Keys that get another owner.
struct planned_move {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::string to;
    std::uint64_t to_run = 0;

    bool operator==(const planned_move&) const = default;
};

/// Moves that are needed because keys have no owner, or one that is not a candidate in its present
/// run. The keys go to the candidates with the least load for their capacity. Keys that are moving
/// already are left alone.
std::vector<planned_move> plan_homeless(const key_map& map, const key_rates& rates,
                                        const std::vector<key_candidate>& candidates);

/// Answers the load of a few busy neighbouring keys that change within seconds: while an owner is
/// close to its capacity and others are not, moves the narrowest ranges that relieve it. At most
/// `most` moves.
std::vector<planned_move> plan_balance(const key_map& map, const key_rates& rates,
                                       const std::vector<key_candidate>& candidates,
                                       std::size_t most);

/// New fences for neighbouring ranges of one owner, so that one grant holds them.
std::vector<planned_move> plan_joins(const key_map& map,
                                     const std::vector<key_candidate>& candidates,
                                     std::size_t most);

/// Moves small, cold ranges to the owner of a neighbour when there are too many ranges.
std::vector<planned_move> plan_merge(const key_map& map, const key_rates& rates,
                                     const std::vector<key_candidate>& candidates,
                                     std::size_t most);

}  // namespace mimosavalve::gateway
