#pragma once

#include <chrono>
#include <cstdint>

#include "mimosavalve/core/types.hpp"

namespace mimosavalve::router {

inline steady_time steady_now() {
    return std::chrono::steady_clock::now();
}

/// Wall clock in milliseconds since 1970. For event records and idempotency keys only.
inline std::uint64_t unix_ms_now() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

}  // namespace mimosavalve::router
