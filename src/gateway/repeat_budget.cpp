#include "mimosavalve/gateway/repeat_budget.hpp"

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

void note_request(repeat_budget& budget, const platform_bounds& bounds, boot_time now) {
    detail::forget_older(budget.requests, now - bounds.retry_window);
    budget.requests.push_back(now);
}

bool take_repeat(repeat_budget& budget, const platform_bounds& bounds, std::uint32_t routers,
                 boot_time now) {
    detail::forget_older(budget.requests, now - bounds.retry_window);
    detail::forget_older(budget.repeats, now - bounds.retry_window);
    const auto allowed =
        detail::used_part * (bounds.retry_ratio * static_cast<double>(budget.requests.size()) +
                             bounds.retry_extra / std::max(routers, 1U));
    if (static_cast<double>(budget.repeats.size()) + 1 > allowed) {
        return false;
    }
    budget.repeats.push_back(now);
    return true;
}

}  // namespace mimosavalve::gateway
