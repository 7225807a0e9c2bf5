#include "mimosavalve/ownership/shard_state.hpp"

#include <algorithm>
#include <tuple>

namespace mimosavalve::ownership {

namespace detail {

bool starts_before(const assignment& range, std::string_view service, slot_number slot) {
    return std::tuple<std::string_view, slot_number>(range.service, range.first_slot) <
           std::tuple<std::string_view, slot_number>(service, slot);
}

/// Splits the range that contains `slot`, so that a range starts at `slot`.
void split_at(shard_state& state, std::string_view service, slot_number slot) {
    for (std::size_t index = 0; index < state.assignments.size(); ++index) {
        auto& range = state.assignments[index];
        const bool is_inside = range.service == service && range.first_slot < slot &&
                               slot - range.first_slot < range.count;
        if (!is_inside) {
            continue;
        }
        assignment tail = range;
        tail.first_slot = slot;
        tail.count = range.count - (slot - range.first_slot);
        range.count = slot - range.first_slot;
        state.assignments.insert(state.assignments.begin() + static_cast<std::ptrdiff_t>(index) + 1,
                                 tail);
        return;
    }
}

bool can_merge(const assignment& left, const assignment& right) {
    return left.service == right.service && left.first_slot + left.count == right.first_slot &&
           left.owner == right.owner && left.fence == right.fence &&
           left.previous_owner == right.previous_owner;
}

void merge_ranges(std::vector<assignment>& ranges) {
    std::vector<assignment> merged;
    merged.reserve(ranges.size());
    for (auto& range : ranges) {
        if (!merged.empty() && can_merge(merged.back(), range)) {
            merged.back().count += range.count;
        } else {
            merged.push_back(std::move(range));
        }
    }
    ranges = std::move(merged);
}

}  // namespace detail

const assignment* find_assignment(const shard_state& state, std::string_view service,
                                  slot_number slot) {
    // `after` is the first range that starts after the slot, so only the range before it can
    // contain the slot.
    auto after = std::partition_point(
        state.assignments.begin(), state.assignments.end(), [&](const assignment& range) {
            return detail::starts_before(range, service, slot) ||
                   (range.service == service && range.first_slot == slot);
        });
    if (after == state.assignments.begin()) {
        return nullptr;
    }
    const auto& range = *std::prev(after);
    const bool contains_slot = range.service == service && slot - range.first_slot < range.count;
    return contains_slot ? &range : nullptr;
}

const hot_key* find_hot_key(const shard_state& state, std::string_view service,
                            std::string_view key) {
    const auto found = std::find_if(
        state.hot_keys.begin(), state.hot_keys.end(),
        [&](const hot_key& entry) { return entry.service == service && entry.key == key; });
    return found == state.hot_keys.end() ? nullptr : &*found;
}

const target* find_target(const shard_state& state, std::string_view id) {
    const auto found = std::find_if(state.targets.begin(), state.targets.end(),
                                    [&](const target& entry) { return entry.id == id; });
    return found == state.targets.end() ? nullptr : &*found;
}

void assign(shard_state& state, std::string_view service, slot_number first_slot,
            std::uint32_t count, std::string_view owner, const version& fence) {
    const auto end = first_slot + count;
    detail::split_at(state, service, first_slot);
    detail::split_at(state, service, end);
    std::vector<assignment> added;
    auto next_slot = first_slot;
    const auto add_gap = [&](slot_number until) {
        if (next_slot < until) {
            added.push_back({std::string(service), next_slot, until - next_slot, std::string(owner),
                             fence, ""});
        }
    };
    for (auto& range : state.assignments) {
        const bool is_covered =
            range.service == service && range.first_slot >= first_slot && range.first_slot < end;
        if (!is_covered) {
            continue;
        }
        add_gap(range.first_slot);
        next_slot = range.first_slot + range.count;
        if (range.owner == owner) {
            continue;
        }
        // While a handover is not proved to be finished, its first previous owner may still serve,
        // so it stays recorded.
        if (range.previous_owner.empty()) {
            range.previous_owner = range.owner;
        }
        range.owner = owner;
        range.fence = fence;
    }
    add_gap(end);
    state.assignments.insert(state.assignments.end(), added.begin(), added.end());
    std::sort(state.assignments.begin(), state.assignments.end(),
              [](const assignment& left, const assignment& right) {
                  return std::tie(left.service, left.first_slot) <
                         std::tie(right.service, right.first_slot);
              });
    detail::merge_ranges(state.assignments);
}

void finish_handover(shard_state& state, std::string_view service, slot_number first_slot,
                     std::uint32_t count) {
    detail::split_at(state, service, first_slot);
    detail::split_at(state, service, first_slot + count);
    for (auto& range : state.assignments) {
        const bool is_inside = range.service == service && range.first_slot >= first_slot &&
                               range.first_slot + range.count <= first_slot + count;
        if (is_inside) {
            range.previous_owner.clear();
        }
    }
    detail::merge_ranges(state.assignments);
}

std::uint32_t quorum_of(const shard_state& state) {
    return (static_cast<std::uint32_t>(state.voters.size()) + state.store_weight) / 2 + 1;
}

}  // namespace mimosavalve::ownership
