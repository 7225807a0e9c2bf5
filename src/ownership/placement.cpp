#include "mimosavalve/ownership/placement.hpp"

#include <algorithm>
#include <map>
#include <optional>

namespace mimosavalve::ownership {

namespace detail {

struct candidate_target {
    const target* entry = nullptr;
    double load = 0;
    std::size_t rank_in_domain = 0;  ///< Interleaves failure domains.

    [[nodiscard]] double relative_load(double extra = 0) const {
        return (load + extra) / static_cast<double>(std::max(1U, entry->slots));
    }
};

/// Slots that no router named still count a little, so that empty services are spread too.
constexpr double unnamed_slot_load = 1;

using load_by_slot = std::map<slot_number, double>;

load_by_slot loads_of(std::string_view service, std::span<const slot_load> load) {
    load_by_slot result;
    for (const auto& entry : load) {
        if (entry.service == service) {
            result[entry.slot] += static_cast<double>(entry.requests);
        }
    }
    return result;
}

double load_of(const load_by_slot& loads, slot_number slot) {
    const auto found = loads.find(slot);
    return unnamed_slot_load + (found == loads.end() ? 0 : found->second);
}

std::vector<candidate_target> active_targets(const shard_state& state, const slot_range& range,
                                             const load_by_slot& loads) {
    std::vector<candidate_target> result;
    std::map<std::string, std::size_t> seen;
    for (const auto& entry : state.targets) {
        if (entry.service == range.service && entry.condition == target_condition::active) {
            result.push_back({&entry, 0, seen[entry.failure_domain]++});
        }
    }
    std::stable_sort(result.begin(), result.end(),
                     [](const candidate_target& left, const candidate_target& right) {
                         return left.rank_in_domain < right.rank_in_domain;
                     });
    for (auto& candidate : result) {
        for (const auto& run : state.assignments) {
            if (run.service != range.service || run.owner != candidate.entry->id) {
                continue;
            }
            for (auto slot = run.first_slot; slot < run.first_slot + run.count; ++slot) {
                candidate.load += load_of(loads, slot);
            }
        }
    }
    return result;
}

candidate_target& least_loaded(std::vector<candidate_target>& candidates, double extra) {
    return *std::min_element(candidates.begin(), candidates.end(),
                             [&](const candidate_target& left, const candidate_target& right) {
                                 return left.relative_load(extra) < right.relative_load(extra);
                             });
}

void append(std::vector<slot_move>& moves, const slot_range& slot, const std::string& owner,
            const std::string& reason) {
    if (!moves.empty()) {
        auto& last = moves.back();
        const bool adjacent = last.slots.service == slot.service && last.owner == owner &&
                              last.reason == reason &&
                              last.slots.first_slot + last.slots.count == slot.first_slot;
        if (adjacent) {
            last.slots.count += slot.count;
            return;
        }
    }
    moves.push_back({slot, owner, reason});
}

/// Why a slot needs a new owner; nothing when it keeps its owner.
std::optional<std::string> reason_to_place(const shard_state& state, const slot_range& range,
                                           slot_number slot) {
    const auto* run = find_assignment(state, range.service, slot);
    if (run == nullptr || run->owner.empty()) {
        return "the slot has no owner";
    }
    const auto* owner = find_target(state, run->owner);
    if (owner == nullptr) {
        return "owner " + run->owner + " is unknown";
    }
    switch (owner->condition) {
        case target_condition::lost:
            return "owner " + run->owner + " is lost";
        case target_condition::leaving:
            return "owner " + run->owner + " leaves";
        case target_condition::active:
            break;
    }
    return std::nullopt;
}

/// Consecutive slots for each target in proportion to its capacity.
void spread_all(const slot_range& range, std::vector<candidate_target>& candidates,
                std::vector<slot_move>& moves) {
    std::uint64_t capacity = 0;
    for (const auto& candidate : candidates) {
        capacity += std::max(1U, candidate.entry->slots);
    }
    std::uint64_t reached = 0;
    auto next = range.first_slot;
    for (const auto& candidate : candidates) {
        reached += std::max(1U, candidate.entry->slots);
        const auto end = range.first_slot +
                         static_cast<slot_number>(std::uint64_t{range.count} * reached / capacity);
        if (end > next) {
            append(moves, {range.service, next, end - next}, candidate.entry->id,
                   "initial assignment");
        }
        next = end;
    }
}

void place_range(const shard_state& state, const slot_range& range, const load_by_slot& loads,
                 std::vector<slot_move>& moves) {
    auto candidates = active_targets(state, range, loads);
    if (candidates.empty()) {
        return;
    }
    const bool fresh =
        std::none_of(state.assignments.begin(), state.assignments.end(),
                     [&](const assignment& run) { return run.service == range.service; });
    if (fresh) {
        spread_all(range, candidates, moves);
        return;
    }
    for (auto slot = range.first_slot; slot < range.first_slot + range.count; ++slot) {
        const auto reason = reason_to_place(state, range, slot);
        if (!reason) {
            continue;
        }
        const auto extra = load_of(loads, slot);
        auto& taker = least_loaded(candidates, extra);
        taker.load += extra;
        append(moves, {range.service, slot, 1}, taker.entry->id, *reason);
    }
}

struct balance {
    double highest = 0;
    double mean = 0;
    std::size_t most_loaded = 0;
};

balance balance_of(const std::vector<candidate_target>& candidates) {
    balance result;
    double load = 0;
    double capacity = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        load += candidates[index].load;
        capacity += std::max(1U, candidates[index].entry->slots);
        if (candidates[index].relative_load() > result.highest) {
            result.highest = candidates[index].relative_load();
            result.most_loaded = index;
        }
    }
    result.mean = capacity > 0 ? load / capacity : 0;
    return result;
}

/// The slot of the owner whose move brings the pair closest; none when no move helps.
std::optional<slot_number> best_slot(const shard_state& state, const slot_range& range,
                                     const candidate_target& giver, const candidate_target& taker,
                                     const load_by_slot& loads,
                                     const std::vector<slot_move>& moved) {
    std::optional<slot_number> best;
    double best_peak = giver.relative_load();
    for (const auto& run : state.assignments) {
        const bool settled = run.service == range.service && run.owner == giver.entry->id &&
                             run.previous_owner.empty();
        for (auto slot = run.first_slot; settled && slot < run.first_slot + run.count; ++slot) {
            const bool taken = std::any_of(moved.begin(), moved.end(), [&](const auto& move) {
                return move.slots.service == range.service && move.slots.first_slot == slot;
            });
            const auto load = load_of(loads, slot);
            const auto peak = std::max(giver.relative_load(-load), taker.relative_load(load));
            if (!taken && peak < best_peak) {
                best_peak = peak;
                best = slot;
            }
        }
    }
    return best;
}

}  // namespace detail

slot_range slots_of_shard(std::string_view service, std::uint32_t slots_per_region,
                          std::uint32_t shards_per_region, std::uint32_t shard) {
    // Smallest slot with slot * shards / slots >= shard.
    const auto first_of = [&](std::uint64_t index) {
        return static_cast<slot_number>((index * slots_per_region + shards_per_region - 1) /
                                        shards_per_region);
    };
    const auto first = first_of(shard);
    return {std::string(service), first, first_of(std::uint64_t{shard} + 1) - first};
}

std::vector<slot_move> place_slots(const shard_state& state, std::span<const slot_range> ranges,
                                   std::span<const slot_load> load) {
    std::vector<slot_move> moves;
    for (const auto& range : ranges) {
        detail::place_range(state, range, detail::loads_of(range.service, load), moves);
    }
    return moves;
}

std::vector<slot_move> rebalance(const shard_state& state, std::span<const slot_range> ranges,
                                 std::span<const slot_load> load, const rebalance_limits& limits,
                                 bool& rebalancing) {
    std::vector<slot_move> moves;
    bool unbalanced = false;
    for (const auto& range : ranges) {
        const auto loads = detail::loads_of(range.service, load);
        auto candidates = detail::active_targets(state, range, loads);
        const auto limit = rebalancing ? limits.stop_below_ratio : limits.start_above_ratio;
        for (std::uint32_t round = 0; round < limits.moves_per_round; ++round) {
            const auto now = detail::balance_of(candidates);
            if (candidates.size() < 2 ||
                now.highest <= (round > 0 ? limits.stop_below_ratio : limit) * now.mean) {
                break;
            }
            auto& giver = candidates[now.most_loaded];
            auto& taker = detail::least_loaded(candidates, 0);
            const auto slot = detail::best_slot(state, range, giver, taker, loads, moves);
            if (!slot) {
                break;
            }
            const auto moved = detail::load_of(loads, *slot);
            giver.load -= moved;
            taker.load += moved;
            unbalanced = true;
            moves.push_back({{range.service, *slot, 1},
                             taker.entry->id,
                             "target " + giver.entry->id + " is loaded above the mean"});
        }
    }
    rebalancing = unbalanced;
    return moves;
}

}  // namespace mimosavalve::ownership
