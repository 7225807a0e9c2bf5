#pragma once

#include <cstdint>
#include <deque>

#include "mimosavalve/gateway/clock.hpp"

namespace mimosavalve::gateway {

/// Sliding-window rate limiter: times of the permitted events within the last window.
struct rate_limiter {
    std::deque<boot_time> acquired;
};

/// Permits and counts one more event if no span of length `window` then holds more than `limit`
/// events.
bool try_acquire(rate_limiter& limiter, double limit, milliseconds window, boot_time now);

/// This router's share of `limit` events, which are divided among `sharers` routers without
/// randomness. The remainder of the division goes to the routers of the lowest `rank`, one each.
std::uint32_t share_of(double limit, std::uint32_t sharers, std::uint32_t rank);

}  // namespace mimosavalve::gateway
