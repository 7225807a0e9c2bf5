#pragma once

#include <atomic>
#include <cstdint>

#include "mimosavalve/core/types.hpp"

namespace mimosavalve::traffic {

/// Rate limit of one account in one process, so that a customer can't take the capacity of the
/// others. It keeps the time at which the tokens taken so far are refilled, which one atomic can
/// hold for all threads.
struct account_limit {
    std::atomic<steady_time::rep> refilled{0};
};

/// Takes one token of the share that each of `live_routers` has of `requests_per_second`. Up to
/// one second's share (at least one request) can be taken at once. False when none is left; a rate
/// of 0 is no limit.
bool take_token(account_limit& limit, double requests_per_second, std::uint32_t live_routers,
                steady_time now);

}  // namespace mimosavalve::traffic
