#pragma once

#include "mimosavalve/router/routing_snapshot.hpp"

namespace mimosavalve::router {

/// Whether the router may serve every shard of its own region. Other regions do not count: a region
/// that is cut off goes on serving its own callers, so its routers must stay with the balancer.
bool is_ready(const routing_snapshot& snapshot, steady_time now);

}  // namespace mimosavalve::router
