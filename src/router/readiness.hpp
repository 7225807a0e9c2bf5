#pragma once

#include "mimosavalve/router/routing_snapshot.hpp"

namespace mimosavalve::router {

/// Whether the router may serve every shard of its own region. Other regions do not count: a region
/// that is cut off from them still serves its own callers, so the load balancer must keep its
/// routers.
bool is_ready(const routing_snapshot& snapshot, steady_time now);

}  // namespace mimosavalve::router
