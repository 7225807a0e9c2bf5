#pragma once

#include <cstdint>
#include <deque>

#include "mimosavalve/gateway/clock.hpp"

namespace mimosavalve::gateway {

/// Events of the last second, so that no span of one second holds more than a limit.
struct rate_gate {
    std::deque<boot_time> passed;
};

/// Whether one more event keeps the limit in each span of `window`; counts it when it does.
bool pass(rate_gate& gate, double limit, milliseconds window, boot_time now);

/// Chance-free share of a small allowance: `limit` events over all routers are divided among
/// `sharers`; when there is less than one for each, only the first ones (by `rank`) get one.
std::uint32_t share_of(double limit, std::uint32_t sharers, std::uint32_t rank);

}  // namespace mimosavalve::gateway
