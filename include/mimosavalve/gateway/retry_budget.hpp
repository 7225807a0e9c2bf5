#pragma once

#include <cstdint>
#include <deque>

#include "mimosavalve/gateway/clock.hpp"
#include "mimosavalve/gateway/gateway_settings.hpp"

namespace mimosavalve::gateway {

/// Retry budget of the gateway, a sliding window: limits the retries to a service within a window
/// to a ratio of this router's own requests plus its share of a fixed number. The sum over all
/// routers then keeps the limit of the platform.
struct retry_budget {
    std::deque<boot_time> requests;  ///< Times of the first sends within the window.
    std::deque<boot_time> retries;   ///< Times of the retries within the window.
};

/// Counts the first send of a request.
void record_first_attempt(retry_budget& budget, const platform_bounds& bounds, boot_time now);

/// Permits and counts one more retry if the limit allows it. `routers` share the limit.
bool try_acquire_retry(retry_budget& budget, const platform_bounds& bounds, std::uint32_t routers,
                       boot_time now);

}  // namespace mimosavalve::gateway
