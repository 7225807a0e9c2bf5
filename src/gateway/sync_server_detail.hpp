#pragma once

#include "mimosavalve/gateway/clock.hpp"

namespace mimosavalve::gateway::detail {

// A router that has called within this time counts as a recent follower.
inline constexpr milliseconds recently_called_time{1500};
// Lag of its event loop from which a router is no dispatcher: requests would wait for it longer
// than for a slot.
inline constexpr milliseconds max_dispatcher_lag{250};

}  // namespace mimosavalve::gateway::detail
