#pragma once

#include <atomic>
#include <cstdint>

#include "mimosavalve/core/types.hpp"

namespace mimosavalve::traffic {

/// Rate limit of one account in one process, so that one customer can't use the capacity of the
/// others. A token bucket stored as the time at which it will be full again, so that one atomic
/// serves all threads without a lock.
struct account_limit {
    std::atomic<steady_time::rep> full_at{0};  ///< Ticks of the steady clock since its epoch.
};

/// Takes one token; false when none is left. Each of `live_routers` has an equal share of
/// `requests_per_second`. The bucket holds one second's share, and at least one token. A rate of 0
/// means no limit.
bool try_acquire_token(account_limit& limit, double requests_per_second, std::uint32_t live_routers,
                       steady_time now);

}  // namespace mimosavalve::traffic
