#include "mimosavalve/control/in_force.hpp"

#include <algorithm>

namespace mimosavalve::control {

namespace detail {

bool contains(const std::vector<instance_id>& list, const instance_id& process) {
    return std::find(list.begin(), list.end(), process) != list.end();
}

void add_once(std::vector<instance_id>& list, const instance_id& process) {
    if (!contains(list, process)) {
        list.push_back(process);
    }
}

bool is_accepted_by_quorum(const in_force_progress& progress, const ownership::shard_state& state,
                           bool has_store_vote) {
    auto weight = has_store_vote ? state.store_weight : 0U;
    for (const auto& voter : state.voters) {
        weight += contains(progress.accepted, voter.id) ? 1U : 0U;
    }
    return weight >= ownership::quorum_of(state);
}

}  // namespace detail

in_force_progress start_progress(const version& state_version) {
    in_force_progress progress;
    progress.state_version = state_version;
    return progress;
}

void record_accepted(in_force_progress& progress, const instance_id& voter,
                     std::span<const lagging_router> lagging) {
    // A repeated report names a subset of the routers of the first one, because a voter confirms no
    // older version after it has accepted this one.
    if (detail::contains(progress.accepted, voter)) {
        return;
    }
    progress.accepted.push_back(voter);
    for (const auto& entry : lagging) {
        const auto known =
            std::find_if(progress.lagging.begin(), progress.lagging.end(),
                         [&](const lagging_router& other) { return other.router == entry.router; });
        if (known == progress.lagging.end()) {
            progress.lagging.push_back(entry);
        } else {
            known->until = std::max(known->until, entry.until);
        }
    }
}

void record_drained(in_force_progress& progress, const instance_id& router) {
    detail::add_once(progress.drained, router);
}

bool is_in_force(const in_force_progress& progress, const ownership::shard_state& state,
                 bool has_store_vote, steady_time now) {
    if (progress.state_version != state.at ||
        !detail::is_accepted_by_quorum(progress, state, has_store_vote)) {
        return false;
    }
#ifdef MV_WITHOUT_IN_FORCE_WAIT
    (void)now;
    return true;
#else
    return std::all_of(
        progress.lagging.begin(), progress.lagging.end(), [&](const lagging_router& entry) {
            return entry.until <= now || detail::contains(progress.drained, entry.router);
        });
#endif
}

}  // namespace mimosavalve::control
