#include "mimosavalve/traffic/retry_budget.hpp"

#include <algorithm>
#include <chrono>

namespace mimosavalve::traffic {

namespace detail {

void refill(retry_budget& budget, steady_time now) {
    if (budget.refilled != steady_time{} && now > budget.refilled) {
        const std::chrono::duration<double> passed = now - budget.refilled;
        budget.available =
            std::min(budget.largest, budget.available + passed.count() * budget.per_second);
    }
    budget.refilled = now;
}

}  // namespace detail

void earn(retry_budget& budget) {
    budget.available = std::min(budget.largest, budget.available + budget.per_request);
}

bool take_retry(retry_budget& budget, steady_time now) {
    detail::refill(budget, now);
    if (budget.available < 1) {
        return false;
    }
    budget.available -= 1;
    return true;
}

}  // namespace mimosavalve::traffic
