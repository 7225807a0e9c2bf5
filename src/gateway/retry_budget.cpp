#include "mimosavalve/gateway/retry_budget.hpp"

#include <algorithm>

namespace mimosavalve::gateway {

namespace detail {

// Fraction of the limit that is used, since a request and its retry may fall into different
// windows.
constexpr double used_fraction = 0.8;

void expire_before(std::deque<boot_time>& times, boot_time limit) {
    while (!times.empty() && times.front() < limit) {
        times.pop_front();
    }
}

}  // namespace detail

void record_first_attempt(retry_budget& budget, const platform_bounds& bounds, boot_time now) {
    detail::expire_before(budget.requests, now - bounds.retry_window);
    budget.requests.push_back(now);
}

bool try_acquire_retry(retry_budget& budget, const platform_bounds& bounds, std::uint32_t routers,
                       boot_time now) {
    detail::expire_before(budget.requests, now - bounds.retry_window);
    detail::expire_before(budget.retries, now - bounds.retry_window);
    const auto allowed =
        detail::used_fraction * (bounds.retry_ratio * static_cast<double>(budget.requests.size()) +
                                 bounds.extra_retries_per_window / std::max(routers, 1U));
    if (static_cast<double>(budget.retries.size()) + 1 > allowed) {
        return false;
    }
    budget.retries.push_back(now);
    return true;
}

}  // namespace mimosavalve::gateway
