#include "mimosavalve/gateway/connection_share.hpp"

#include <algorithm>

namespace mimosavalve::gateway {

namespace detail {

// Time without growth after a reset: a target's queue lasts about as long.
constexpr milliseconds reset_pause{1000};
// Interval at which the limit grows by one connection. A slower growth would outlast the queue that
// lowered the target's limit; all routers grow at once.
constexpr milliseconds growth_interval{100};

}  // namespace detail

std::uint32_t connection_share(std::uint32_t max_connections, double fraction,
                               std::uint32_t routers) {
    return static_cast<std::uint32_t>(
        std::max(max_connections * fraction / std::max(routers, 1U), 1.0));
}

std::uint32_t connection_limit(const connection_backoff& backoff, std::uint32_t share,
                               boot_time now) {
    if (backoff.grows_at == boot_time{}) {
        return share;
    }
    const auto grown = std::max<std::int64_t>(
        std::chrono::duration_cast<milliseconds>(now - backoff.grows_at) / detail::growth_interval,
        0);
    return static_cast<std::uint32_t>(std::min<std::int64_t>(share, backoff.limit + grown));
}

bool record_reset(connection_backoff& backoff, std::uint32_t share, boot_time opened_at,
                  boot_time now) {
    if (backoff.grows_at != boot_time{} && opened_at < backoff.grows_at - detail::reset_pause) {
        return false;
    }
    backoff.limit = std::max(connection_limit(backoff, share, now) / 2, 1U);
    backoff.grows_at = now + detail::reset_pause;
    return true;
}

}  // namespace mimosavalve::gateway
