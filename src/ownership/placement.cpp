#include "mimosavalve/ownership/placement.hpp"

#include <algorithm>
#include <map>
#include <optional>

namespace mimosavalve::ownership {

namespace detail {

struct candidate_target {
    const target* entry = nullptr;
    double load = 0;
    std::size_t rank_in_domain = 0;  ///< Sorting by it interleaves failure domains.

    [[nodiscard]] double relative_load(double extra = 0) const {
        return (load + extra) / static_cast<double>(std::max(1U, entry->slots));
    }
};

/// Load of each slot on top of its reported requests, so that the slots of a service without
/// reported load are spread too.
constexpr double base_slot_load = 1;

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
    return base_slot_load + (found == loads.end() ? 0 : found->second);
}

std::vector<candidate_target> active_targets(const shard_state& state, const slot_range& range,
                                             const load_by_slot& loads) {
    std::vector<candidate_target> result;
    std::map<std::string, std::size_t> targets_in_domain;
    for (const auto& entry : state.targets) {
        if (entry.service == range.service && entry.condition == target_condition::active) {
            result.push_back({&entry, 0, targets_in_domain[entry.failure_domain]++});
        }
    }
    std::stable_sort(result.begin(), result.end(),
                     [](const candidate_target& left, const candidate_target& right) {
                         return left.rank_in_domain < right.rank_in_domain;
                     });
    for (auto& candidate : result) {
        for (const auto& assigned : state.assignments) {
            if (assigned.service != range.service || assigned.owner != candidate.entry->id) {
                continue;
            }
            for (auto slot = assigned.first_slot; slot < assigned.first_slot + assigned.count;
                 ++slot) {
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

void append_move(std::vector<slot_move>& moves, const slot_range& slot, const std::string& owner,
                 const std::string& reason) {
    if (!moves.empty()) {
        auto& last = moves.back();
        const bool extends_last = last.slots.service == slot.service && last.owner == owner &&
                                  last.reason == reason &&
                                  last.slots.first_slot + last.slots.count == slot.first_slot;
        if (extends_last) {
            last.slots.count += slot.count;
            return;
        }
    }
    moves.push_back({slot, owner, reason});
}

/// Reason why a slot needs a new owner; std::nullopt when it keeps its owner.
std::optional<std::string> placement_reason(const shard_state& state, const slot_range& range,
                                            slot_number slot) {
    const auto* assigned = find_assignment(state, range.service, slot);
    if (assigned == nullptr || assigned->owner.empty()) {
        return "the slot has no owner";
    }
    const auto* owner = find_target(state, assigned->owner);
    if (owner == nullptr) {
        return "owner " + assigned->owner + " is unknown";
    }
    switch (owner->condition) {
        case target_condition::lost:
            return "owner " + assigned->owner + " is lost";
        case target_condition::leaving:
            return "owner " + assigned->owner + " is leaving";
        case target_condition::active:
            break;
    }
    return std::nullopt;
}

/// Assigns to each target a number of consecutive slots in proportion to its capacity.
void spread_slots(const slot_range& range, std::vector<candidate_target>& candidates,
                  std::vector<slot_move>& moves) {
    std::uint64_t capacity = 0;
    for (const auto& candidate : candidates) {
        capacity += std::max(1U, candidate.entry->slots);
    }
    std::uint64_t cumulative_capacity = 0;
    auto next = range.first_slot;
    for (const auto& candidate : candidates) {
        cumulative_capacity += std::max(1U, candidate.entry->slots);
        const auto end =
            range.first_slot +
            static_cast<slot_number>(std::uint64_t{range.count} * cumulative_capacity / capacity);
        if (end > next) {
            append_move(moves, {range.service, next, end - next}, candidate.entry->id,
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
    const bool is_unassigned =
        std::none_of(state.assignments.begin(), state.assignments.end(),
                     [&](const assignment& assigned) { return assigned.service == range.service; });
    if (is_unassigned) {
        spread_slots(range, candidates, moves);
        return;
    }
    for (auto slot = range.first_slot; slot < range.first_slot + range.count; ++slot) {
        const auto reason = placement_reason(state, range, slot);
        if (!reason) {
            continue;
        }
        const auto extra = load_of(loads, slot);
        auto& destination = least_loaded(candidates, extra);
        destination.load += extra;
        append_move(moves, {range.service, slot, 1}, destination.entry->id, *reason);
    }
}

struct balance {
    double max_relative_load = 0;
    double mean_relative_load = 0;
    std::size_t most_loaded = 0;
};

balance balance_of(const std::vector<candidate_target>& candidates) {
    balance result;
    double load = 0;
    double capacity = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        load += candidates[index].load;
        capacity += std::max(1U, candidates[index].entry->slots);
        if (candidates[index].relative_load() > result.max_relative_load) {
            result.max_relative_load = candidates[index].relative_load();
            result.most_loaded = index;
        }
    }
    result.mean_relative_load = capacity > 0 ? load / capacity : 0;
    return result;
}

/// Slot of `source` whose move to `destination` minimises the higher relative load of both;
/// std::nullopt when no move lowers that of `source`. Slots in a handover or in `moves` are
/// skipped.
std::optional<slot_number> best_slot_to_move(const shard_state& state, const slot_range& range,
                                             const candidate_target& source,
                                             const candidate_target& destination,
                                             const load_by_slot& loads,
                                             const std::vector<slot_move>& moves) {
    std::optional<slot_number> best;
    double min_peak = source.relative_load();
    for (const auto& assigned : state.assignments) {
        const bool is_movable = assigned.service == range.service &&
                                assigned.owner == source.entry->id &&
                                assigned.previous_owner.empty();
        for (auto slot = assigned.first_slot;
             is_movable && slot < assigned.first_slot + assigned.count; ++slot) {
            const bool is_already_moved =
                std::any_of(moves.begin(), moves.end(), [&](const auto& move) {
                    return move.slots.service == range.service && move.slots.first_slot == slot;
                });
            const auto load = load_of(loads, slot);
            const auto peak =
                std::max(source.relative_load(-load), destination.relative_load(load));
            if (!is_already_moved && peak < min_peak) {
                min_peak = peak;
                best = slot;
            }
        }
    }
    return best;
}

}  // namespace detail

slot_range slots_of_shard(std::string_view service, std::uint32_t slots_per_region,
                          std::uint32_t shards_per_region, std::uint32_t shard) {
    // First slot of a shard: the smallest slot with slot * shards_per_region / slots_per_region >=
    // index.
    const auto first_slot_of = [&](std::uint64_t index) {
        return static_cast<slot_number>((index * slots_per_region + shards_per_region - 1) /
                                        shards_per_region);
    };
    const auto first = first_slot_of(shard);
    return {std::string(service), first, first_slot_of(std::uint64_t{shard} + 1) - first};
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
    bool has_moved = false;
    for (const auto& range : ranges) {
        const auto loads = detail::loads_of(range.service, load);
        auto candidates = detail::active_targets(state, range, loads);
        const auto first_limit = rebalancing ? limits.stop_below_ratio : limits.start_above_ratio;
        for (std::uint32_t moved = 0; moved < limits.max_moves_per_round; ++moved) {
            const auto current = detail::balance_of(candidates);
            if (candidates.size() < 2 ||
                current.max_relative_load <= (moved > 0 ? limits.stop_below_ratio : first_limit) *
                                                 current.mean_relative_load) {
                break;
            }
            auto& source = candidates[current.most_loaded];
            auto& destination = detail::least_loaded(candidates, 0);
            const auto slot =
                detail::best_slot_to_move(state, range, source, destination, loads, moves);
            if (!slot) {
                break;
            }
            const auto moved_load = detail::load_of(loads, *slot);
            source.load -= moved_load;
            destination.load += moved_load;
            has_moved = true;
            moves.push_back({{range.service, *slot, 1},
                             destination.entry->id,
                             "target " + source.entry->id + " is loaded above the mean"});
        }
    }
    rebalancing = has_moved;
    return moves;
}

}  // namespace mimosavalve::ownership
