#include "router/readiness.hpp"

#include <algorithm>

namespace mimosavalve::router {

bool is_ready(const routing_snapshot& snapshot, steady_time now) {
    if (snapshot.config == nullptr) {
        return false;
    }
    const auto served =
        std::count_if(snapshot.shards.begin(), snapshot.shards.end(), [&](const shard_view& view) {
            return view.state->shard.region == snapshot.own_region &&
                   view.serving_lease->until() > now;
        });
    return served > 0 && static_cast<std::uint32_t>(served) >= snapshot.config->shards_per_region;
}

}  // namespace mimosavalve::router
