#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "mimosavalve/config/fleet_config.hpp"
#include "mimosavalve/core/types.hpp"
#include "mimosavalve/ownership/shard_state.hpp"

namespace mimosavalve::router {

/// End of a serving lease. The control thread writes it on each renewal, and the traffic threads
/// read it just before they send, so the value is not part of the immutable snapshot.
class lease_deadline {
public:
    [[nodiscard]] steady_time until() const {
        return steady_time(steady_time::duration(until_.load(std::memory_order_acquire)));
    }

    void extend_to(steady_time until) {
        until_.store(until.time_since_epoch().count(), std::memory_order_release);
    }

private:
    std::atomic<steady_time::rep> until_{0};
};

/// A router's view of one shard. Several threads read it at once; only the end of its serving lease
/// changes.
struct shard_view {
    std::shared_ptr<const ownership::shard_state> state;
    /// Newest version up to which all moves are proved and granted, as recorded by this router.
    version activated;
    std::shared_ptr<const lease_deadline> serving_lease;  ///< Lease for exactly `state->at`.
};

/// Immutable input of all routing decisions; the control thread replaces it as a whole.
struct routing_snapshot {
    std::shared_ptr<const config::fleet_config> config;
    std::vector<shard_view> shards;  ///< Sorted by shard id.
    std::string own_region;
    std::vector<std::uint64_t> quarantined;  ///< Fingerprints of quarantined requests; sorted.
    std::uint32_t live_routers =
        1;  ///< Number of routers that share each limit, this one included.
};

/// View of a shard, or null.
const shard_view* find_shard(const routing_snapshot& snapshot, const shard_id& shard);

/// Whether requests may be sent to the owner: there is one, and it has no previous owner or the
/// activated version proves that the previous owner has stopped.
bool is_active(const ownership::assignment& assignment, const version& activated);
bool is_active(const ownership::hot_key& key, const version& activated);

}  // namespace mimosavalve::router
