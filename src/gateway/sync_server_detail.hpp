#pragma once

#include "mimosavalve/gateway/clock.hpp"

namespace mimosavalve::gateway::detail {

// A router that has called within this time counts as a recent follower.
inline constexpr milliseconds recently_called_time{1500};

}  // namespace mimosavalve::gateway::detail
