#pragma once

#include <cstdint>
#include <deque>

#include "mimosavalve/gateway/clock.hpp"
#include "mimosavalve/gateway/gateway_settings.hpp"

namespace mimosavalve::gateway {

/// Bounds repeated sends to a service in each window: a ratio of this router's own requests, plus
/// this router's share of a fixed number. The sum over all routers then keeps the whole bound.
struct repeat_budget {
    std::deque<boot_time> requests;  ///< First sends within the window.
    std::deque<boot_time> repeats;
};

void note_request(repeat_budget& budget, const platform_bounds& bounds, boot_time now);

/// Counts a repeat if the bound allows one more.
bool take_repeat(repeat_budget& budget, const platform_bounds& bounds, std::uint32_t routers,
                 boot_time now);

}  // namespace mimosavalve::gateway
