#include "mimosavalve/gateway/rate_gate.hpp"

#include <algorithm>
#include <cmath>

namespace mimosavalve::gateway {

bool pass(rate_gate& gate, double limit, milliseconds window, boot_time now) {
    while (!gate.passed.empty() && gate.passed.front() + window <= now) {
        gate.passed.pop_front();
    }
    if (static_cast<double>(gate.passed.size()) + 1 > limit) {
        return false;
    }
    gate.passed.push_back(now);
    return true;
}

std::uint32_t share_of(double limit, std::uint32_t sharers, std::uint32_t rank) {
    const auto whole = static_cast<std::uint32_t>(std::max(std::floor(limit), 0.0));
    const auto each = whole / std::max(sharers, 1U);
    return each + (rank < whole % std::max(sharers, 1U) ? 1 : 0);
}

}  // namespace mimosavalve::gateway
