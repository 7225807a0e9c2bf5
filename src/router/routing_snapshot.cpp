#include "mimosavalve/router/routing_snapshot.hpp"

#include <algorithm>

namespace mimosavalve::router {

const shard_view* find_shard(const routing_snapshot& snapshot, const shard_id& shard) {
    const auto found = std::lower_bound(
        snapshot.shards.begin(), snapshot.shards.end(), shard,
        [](const shard_view& view, const shard_id& id) { return view.state->shard < id; });
    const bool matches = found != snapshot.shards.end() && found->state->shard == shard;
    return matches ? &*found : nullptr;
}

bool is_active(const ownership::assignment& assignment, const version& activated) {
    return !assignment.owner.empty() &&
           (assignment.previous_owner.empty() || assignment.fence <= activated);
}

bool is_active(const ownership::hot_key& key, const version& activated) {
    return !key.owner.empty() && (key.previous_owner.empty() || key.fence <= activated);
}

}  // namespace mimosavalve::router
