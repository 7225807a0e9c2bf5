#include "router/readiness.hpp"

#include <doctest/doctest.h>

#include <chrono>

using namespace mimosavalve;
using namespace std::chrono_literals;

namespace {

const steady_time now = steady_time{} + 1h;

router::shard_view view_of(const shard_id& shard, steady_time lease_until) {
    auto state = std::make_shared<ownership::shard_state>();
    state->shard = shard;
    auto lease = std::make_shared<router::lease_deadline>();
    lease->extend_to(lease_until);
    return {state, {}, lease};
}

router::routing_snapshot snapshot_with(std::vector<router::shard_view> shards) {
    auto config = std::make_shared<config::fleet_config>();
    config->shards_per_region = 2;
    config->regions = {{"bagmati", {"bagmati-a"}}, {"gandaki", {"gandaki-a"}}};
    router::routing_snapshot snapshot;
    snapshot.config = config;
    snapshot.own_region = "bagmati";
    snapshot.shards = std::move(shards);
    return snapshot;
}

}  // namespace

// If the load balancer removed the routers of a region that is cut off from the others, the region
// would serve no one.
TEST_CASE("a router is ready when only other regions are unreachable [readiness]") {
    CHECK(router::is_ready(
        snapshot_with({view_of({"bagmati", 0}, now + 1s), view_of({"bagmati", 1}, now + 1s)}),
        now));
    CHECK(router::is_ready(
        snapshot_with({view_of({"bagmati", 0}, now + 1s), view_of({"bagmati", 1}, now + 1s),
                       view_of({"gandaki", 0}, now - 1s)}),
        now));
}

TEST_CASE("a router without a lease for a shard of its region is not ready [readiness]") {
    CHECK_FALSE(router::is_ready(
        snapshot_with({view_of({"bagmati", 0}, now + 1s), view_of({"bagmati", 1}, now)}), now));
    CHECK_FALSE(router::is_ready(snapshot_with({view_of({"bagmati", 0}, now + 1s)}), now));
    CHECK_FALSE(router::is_ready(
        snapshot_with({view_of({"gandaki", 0}, now + 1s), view_of({"gandaki", 1}, now + 1s)}),
        now));
    CHECK_FALSE(router::is_ready(router::routing_snapshot{}, now));
}
