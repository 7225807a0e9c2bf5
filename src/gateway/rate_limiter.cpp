#include "mimosavalve/gateway/rate_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace mimosavalve::gateway {

bool try_acquire(rate_limiter& limiter, double limit, milliseconds window, boot_time now) {
    while (!limiter.acquired.empty() && limiter.acquired.front() + window <= now) {
        limiter.acquired.pop_front();
    }
    if (static_cast<double>(limiter.acquired.size()) + 1 > limit) {
        return false;
    }
    limiter.acquired.push_back(now);
    return true;
}

std::uint32_t share_of(double limit, std::uint32_t sharers, std::uint32_t rank) {
    const auto whole = static_cast<std::uint32_t>(std::max(std::floor(limit), 0.0));
    const auto each = whole / std::max(sharers, 1U);
    return each + (rank < whole % std::max(sharers, 1U) ? 1 : 0);
}

}  // namespace mimosavalve::gateway
