#pragma once

#include <cstdint>

#include "mimosavalve/gateway/clock.hpp"

namespace mimosavalve::gateway {

/// A router's connections to a target after a reset. A target that has reached its connection limit
/// resets new connections (721 on one quiet day); it accepts fewer while its queue is long.
struct connection_backoff {
    std::uint32_t limit = 0;  ///< Connections from the last reset until `grows_at`.
    boot_time grows_at;       ///< From then on the limit grows; `boot_time{}`: no reset so far.
};

/// This router's share of a target's connections, of which all routers use `fraction`; at least 1.
std::uint32_t connection_share(std::uint32_t max_connections, double fraction,
                               std::uint32_t routers);

/// Number of connections that this router may have at the target, including idle ones. Without a
/// recent reset, its share.
std::uint32_t connection_limit(const connection_backoff& backoff, std::uint32_t share,
                               boot_time now);

/// Halves the limit for a second, since the target has reset a new connection before any byte of an
/// answer. Resets of the other connections that were opened meanwhile count as the same one.
/// Returns whether the limit was halved.
bool record_reset(connection_backoff& backoff, std::uint32_t share, boot_time opened_at,
                  boot_time now);

}  // namespace mimosavalve::gateway
