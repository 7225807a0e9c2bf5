#include "mimosavalve/gateway/rate_bucket.hpp"

#include <algorithm>
#include <chrono>

namespace mimosavalve::gateway {

namespace detail {

// After a pause a router may send two requests at once if its quota allows at least two per second;
// more would lengthen the target's queue needlessly. A smaller quota means many routers.
constexpr double max_tokens = 2;
constexpr double min_rate_for_max_tokens = 2;

double tokens_at(const rate_bucket& bucket, boot_time now) {
    const auto elapsed = std::chrono::duration<double>(now - bucket.counted_at).count();
    return std::min(bucket.tokens + elapsed * bucket.per_second,
                    bucket.per_second < min_rate_for_max_tokens ? 1 : max_tokens);
}

}  // namespace detail

void set_rate(rate_bucket& bucket, double per_second, double random, boot_time now) {
    // The time so far counts at the rate that was in force.
    bucket.tokens = bucket.per_second > 0 ? detail::tokens_at(bucket, now) : random;
    bucket.counted_at = now;
    bucket.per_second = per_second;
}

bool try_acquire(rate_bucket& bucket, boot_time now) {
    if (bucket.per_second <= 0) {
        return true;
    }
    bucket.tokens = detail::tokens_at(bucket, now);
    bucket.counted_at = now;
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

double admitted_in_ms(const rate_bucket& bucket, std::uint32_t requests_ahead, boot_time now) {
    constexpr double ms_per_s = 1000;
    if (bucket.per_second <= 0) {
        return 0;
    }
    const auto missing = requests_ahead + 1.0 - detail::tokens_at(bucket, now);
    return std::max(missing, 0.0) / bucket.per_second * ms_per_s;
}

}  // namespace mimosavalve::gateway
