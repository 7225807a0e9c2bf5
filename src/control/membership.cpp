#include "mimosavalve/control/membership.hpp"

#include <algorithm>
#include <map>

#include "mimosavalve/ownership/slot.hpp"

namespace mimosavalve::control {

namespace detail {

std::uint32_t max_voters_per_domain(const std::vector<ownership::voter>& voters) {
    std::map<std::string, std::uint32_t> counts;
    std::uint32_t max_count = 1;
    for (const auto& voter : voters) {
        max_count = std::max(max_count, ++counts[voter.failure_domain]);
    }
    return max_count;
}

std::uint32_t count_in(const std::vector<ownership::voter>& voters, const std::string& domain) {
    return static_cast<std::uint32_t>(std::count_if(
        voters.begin(), voters.end(),
        [&](const ownership::voter& entry) { return entry.failure_domain == domain; }));
}

bool is_usable(const instance_id& id, std::span<const candidate> candidates) {
    return std::any_of(candidates.begin(), candidates.end(), [&](const candidate& entry) {
        return entry.id == id && entry.alive && !entry.leaving;
    });
}

std::optional<membership_step> remove_unusable(const ownership::shard_state& state,
                                               std::span<const candidate> candidates) {
    const auto unusable =
        std::find_if(state.voters.begin(), state.voters.end(), [&](const ownership::voter& entry) {
            return entry.id != state.leader && !is_usable(entry.id, candidates);
        });
    if (unusable == state.voters.end()) {
        return std::nullopt;
    }
    membership_step step{state.voters, state.store_weight, ""};
    step.reason = "voter " + to_string(unusable->id) + " is unavailable or leaving";
    step.voters.erase(step.voters.begin() + (unusable - state.voters.begin()));
    return step;
}

/// Returns a candidate of the domain with the fewest voters, on ties the one with the higher
/// rendezvous hash; null when there is none.
const candidate* best_addition(const ownership::shard_state& state,
                               std::span<const candidate> candidates) {
    const candidate* best = nullptr;
    const auto is_worse = [&](const candidate& left, const candidate& right) {
        const auto left_count = count_in(state.voters, left.failure_domain);
        const auto right_count = count_in(state.voters, right.failure_domain);
        if (left_count != right_count) {
            return left_count > right_count;
        }
        const auto name = to_string(state.shard);
        return ownership::hash_of(name + left.id.host) < ownership::hash_of(name + right.id.host);
    };
    for (const auto& entry : candidates) {
        const bool listed =
            std::any_of(state.voters.begin(), state.voters.end(),
                        [&](const ownership::voter& voter) { return voter.id == entry.id; });
        if (listed || !entry.alive || entry.leaving) {
            continue;
        }
        if (best == nullptr || is_worse(*best, entry)) {
            best = &entry;
        }
    }
    return best;
}

membership_step addition_of(const ownership::shard_state& state, const candidate& added) {
    membership_step step{state.voters, state.store_weight, ""};
    step.voters.push_back({added.id, added.failure_domain, added.address});
    step.reason = "voter " + to_string(added.id) + " joins";
    return step;
}

/// Adds the leader when it is not a voter; this step comes before all others.
std::optional<membership_step> add_leader(const ownership::shard_state& state,
                                          std::span<const candidate> candidates) {
    const bool listed =
        std::any_of(state.voters.begin(), state.voters.end(),
                    [&](const ownership::voter& entry) { return entry.id == state.leader; });
    const auto leader =
        std::find_if(candidates.begin(), candidates.end(),
                     [&](const candidate& entry) { return entry.id == state.leader; });
    if (listed || leader == candidates.end() || leader->leaving) {
        return std::nullopt;
    }
    return addition_of(state, *leader);
}

}  // namespace detail

std::optional<membership_step> next_membership_step(const ownership::shard_state& state,
                                                    std::span<const candidate> candidates,
                                                    const timing& intervals) {
    if (auto leader = detail::add_leader(state, candidates)) {
        return leader;
    }
    if (auto removal = detail::remove_unusable(state, candidates)) {
        return removal;
    }
    const auto wanted = detail::max_voters_per_domain(state.voters);
    if (state.store_weight != wanted) {
        const auto weight =
            state.store_weight < wanted ? state.store_weight + 1 : state.store_weight - 1;
        return membership_step{
            state.voters, weight,
            "store weight follows the largest number of voters in a failure domain"};
    }
    if (state.voters.size() >= intervals.max_voters) {
        return std::nullopt;
    }
    const auto* addition = detail::best_addition(state, candidates);
    if (addition == nullptr) {
        return std::nullopt;
    }
    return detail::addition_of(state, *addition);
}

std::size_t leader_rank(const shard_id& shard, const instance_id& self,
                        std::span<const ownership::voter> voters) {
    const auto name = to_string(shard);
    const auto own = ownership::hash_of(name + self.host);
    return static_cast<std::size_t>(
        std::count_if(voters.begin(), voters.end(), [&](const ownership::voter& entry) {
            return entry.id != self && ownership::hash_of(name + entry.id.host) > own;
        }));
}

}  // namespace mimosavalve::control
