#include "mimosavalve/traffic/retry_budget.hpp"

#include <algorithm>
#include <chrono>

namespace mimosavalve::traffic {

namespace detail {

void refill(retry_budget& budget, steady_time now) {
    if (budget.last_refill != steady_time{} && now > budget.last_refill) {
        const std::chrono::duration<double> passed = now - budget.last_refill;
        budget.available = std::min(budget.max_available,
                                    budget.available + passed.count() * budget.retries_per_second);
    }
    budget.last_refill = now;
}

}  // namespace detail

void record_first_attempt(retry_budget& budget) {
    budget.available =
        std::min(budget.max_available, budget.available + budget.retries_per_request);
}

bool try_acquire_retry(retry_budget& budget, steady_time now) {
    detail::refill(budget, now);
    if (budget.available < 1) {
        return false;
    }
    budget.available -= 1;
    return true;
}

}  // namespace mimosavalve::traffic
