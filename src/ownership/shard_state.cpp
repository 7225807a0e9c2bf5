#include "mimosavalve/ownership/shard_state.hpp"

#include <algorithm>
#include <tuple>

namespace mimosavalve::ownership {

namespace detail {

bool starts_before(const assignment& run, std::string_view service, slot_number slot) {
    return std::tuple<std::string_view, slot_number>(run.service, run.first_slot) <
           std::tuple<std::string_view, slot_number>(service, slot);
}

/// Splits the run that holds `slot`, so that a run starts at it.
void split_before(shard_state& state, std::string_view service, slot_number slot) {
    for (std::size_t index = 0; index < state.assignments.size(); ++index) {
        auto& run = state.assignments[index];
        const bool inside =
            run.service == service && run.first_slot < slot && slot - run.first_slot < run.count;
        if (!inside) {
            continue;
        }
        assignment tail = run;
        tail.first_slot = slot;
        tail.count = run.count - (slot - run.first_slot);
        run.count = slot - run.first_slot;
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

void merge_runs(std::vector<assignment>& runs) {
    std::vector<assignment> merged;
    merged.reserve(runs.size());
    for (auto& run : runs) {
        if (!merged.empty() && can_merge(merged.back(), run)) {
            merged.back().count += run.count;
        } else {
            merged.push_back(std::move(run));
        }
    }
    runs = std::move(merged);
}

}  // namespace detail

const assignment* find_assignment(const shard_state& state, std::string_view service,
                                  slot_number slot) {
    // First run that starts after the slot; the one before it is the only candidate.
    auto after = std::partition_point(state.assignments.begin(), state.assignments.end(),
                                      [&](const assignment& run) {
                                          return detail::starts_before(run, service, slot) ||
                                                 (run.service == service && run.first_slot == slot);
                                      });
    if (after == state.assignments.begin()) {
        return nullptr;
    }
    const auto& run = *std::prev(after);
    const bool holds = run.service == service && slot - run.first_slot < run.count;
    return holds ? &run : nullptr;
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
    detail::split_before(state, service, first_slot);
    detail::split_before(state, service, end);
    std::vector<assignment> added;
    auto next_slot = first_slot;
    const auto add_gap = [&](slot_number until) {
        if (next_slot < until) {
            added.push_back({std::string(service), next_slot, until - next_slot, std::string(owner),
                             fence, ""});
        }
    };
    for (auto& run : state.assignments) {
        const bool covered =
            run.service == service && run.first_slot >= first_slot && run.first_slot < end;
        if (!covered) {
            continue;
        }
        add_gap(run.first_slot);
        next_slot = run.first_slot + run.count;
        if (run.owner == owner) {
            continue;
        }
        // An unproved handover keeps its first previous owner: that is the one that may still
        // serve.
        if (run.previous_owner.empty()) {
            run.previous_owner = run.owner;
        }
        run.owner = owner;
        run.fence = fence;
    }
    add_gap(end);
    state.assignments.insert(state.assignments.end(), added.begin(), added.end());
    std::sort(state.assignments.begin(), state.assignments.end(),
              [](const assignment& left, const assignment& right) {
                  return std::tie(left.service, left.first_slot) <
                         std::tie(right.service, right.first_slot);
              });
    detail::merge_runs(state.assignments);
}

void finish_handover(shard_state& state, std::string_view service, slot_number first_slot,
                     std::uint32_t count) {
    detail::split_before(state, service, first_slot);
    detail::split_before(state, service, first_slot + count);
    for (auto& run : state.assignments) {
        const bool inside = run.service == service && run.first_slot >= first_slot &&
                            run.first_slot + run.count <= first_slot + count;
        if (inside) {
            run.previous_owner.clear();
        }
    }
    detail::merge_runs(state.assignments);
}

std::uint32_t quorum_of(const shard_state& state) {
    return (static_cast<std::uint32_t>(state.voters.size()) + state.store_weight) / 2 + 1;
}

}  // namespace mimosavalve::ownership
