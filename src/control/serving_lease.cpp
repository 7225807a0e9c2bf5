#include "mimosavalve/control/serving_lease.hpp"

#include <algorithm>

namespace mimosavalve::control {

namespace detail {

struct vote {
    steady_time until;
    std::uint32_t weight = 0;
};

bool is_voter(const ownership::shard_state& state, const instance_id& process) {
    return std::any_of(state.voters.begin(), state.voters.end(),
                       [&](const ownership::voter& entry) { return entry.id == process; });
}

}  // namespace detail

void add_confirmation(std::vector<confirmation>& confirmations, const confirmation& added) {
    const auto known =
        std::find_if(confirmations.begin(), confirmations.end(),
                     [&](const confirmation& entry) { return entry.voter == added.voter; });
    if (known == confirmations.end()) {
        confirmations.push_back(added);
        return;
    }
    known->until = std::max(known->until, added.until);
    known->store_vote_until = std::max(known->store_vote_until, added.store_vote_until);
}

steady_time lease_end(std::span<const confirmation> confirmations,
                      const ownership::shard_state& state) {
    std::vector<detail::vote> votes;
    steady_time store_until{};
    for (const auto& entry : confirmations) {
        // A leader that is not a voter still casts the store's vote.
        if (detail::is_voter(state, entry.voter)) {
            votes.push_back({entry.until, 1});
        }
        store_until = std::max(store_until, std::min(entry.until, entry.store_vote_until));
    }
    votes.push_back({store_until, state.store_weight});
    std::sort(votes.begin(), votes.end(), [](const detail::vote& left, const detail::vote& right) {
        return left.until > right.until;
    });
    const auto needed = ownership::quorum_of(state);
    std::uint32_t weight = 0;
    for (const auto& vote : votes) {
        weight += vote.weight;
        if (weight >= needed) {
            return vote.until;
        }
    }
    return {};
}

bool confirmations_carry_over(const ownership::shard_state& older,
                              const ownership::shard_state& newer) {
    return older.voters == newer.voters && older.store_weight == newer.store_weight;
}

}  // namespace mimosavalve::control
