#pragma once

#include <cstdint>

#include "mimosavalve/gateway/clock.hpp"

namespace mimosavalve::gateway {

/// Token bucket of a router's rate quota for an owner of keys. Sixty routers that each send two
/// requests at once fill the queue of a hot owner with 2 slots several times over, so a bucket
/// starts with less than one token, and holds at most one where the quota is small.
struct rate_bucket {
    double per_second = 0;  ///< Maximum requests per second; 0: no limit.
    double tokens = 0;
    boot_time counted_at;  ///< Time at which `tokens` was computed.
};

/// Sets the quota. A bucket without a quota so far starts with `random` (0 to 1) of a token, so
/// that the routers' first requests under their quotas are spread over time.
void set_rate(rate_bucket& bucket, double per_second, double random, boot_time now);

/// Takes one token, if there is a quota. Returns whether the request may be sent.
bool try_acquire(rate_bucket& bucket, boot_time now);

/// Time until the quota admits a request behind `requests_ahead` others, in ms; 0 without a quota.
double admitted_in_ms(const rate_bucket& bucket, std::uint32_t requests_ahead, boot_time now);

}  // namespace mimosavalve::gateway
