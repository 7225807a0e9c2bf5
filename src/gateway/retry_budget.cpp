#include "mimosavalve/gateway/retry_budget.hpp"

#include <algorithm>

namespace mimosavalve::gateway {

namespace detail {

// Part of the bound that is used: requests and their repeats may fall into different windows.
constexpr double used_part = 0.8;

void forget_older(std::deque<boot_time>& times, boot_time limit) {
    while (!times.empty() && times.front() < limit) {
        times.pop_front();
    }
}

}  // namespace detail

void record_request(retry_budget& budget, const platform_bounds& bounds, boot_time now) {
    detail::forget_older(budget.requests, now - bounds.retry_window);
    budget.requests.push_back(now);
}

bool try_acquire_retry(retry_budget& budget, const platform_bounds& bounds, std::uint32_t routers,
                       boot_time now) {
    detail::forget_older(budget.requests, now - bounds.retry_window);
    detail::forget_older(budget.retries, now - bounds.retry_window);
    const auto allowed =
        detail::used_part * (bounds.retry_ratio * static_cast<double>(budget.requests.size()) +
                             bounds.retry_extra / std::max(routers, 1U));
    if (static_cast<double>(budget.retries.size()) + 1 > allowed) {
        return false;
    }
    budget.retries.push_back(now);
    return true;
}

}  // namespace mimosavalve::gateway
