#pragma once

#include "mimosavalve/core/types.hpp"

namespace mimosavalve::traffic {

/// Limits retries to a share of the requests, so that a failing target does not receive a multiple
/// of its load when it can bear it least. A small constant rate lets a quiet router retry too.
struct retry_budget {
    double per_request = 0.1;  ///< Retries earned by each request.
    double per_second = 3;     ///< Retries earned by time alone.
    double largest = 30;       ///< Retries that can be saved up.
    double available = 3;      ///< Retries that may be made now.
    steady_time refilled;      ///< Time of the last refill; the epoch before the first.
};

/// Counts a first attempt.
void earn(retry_budget& budget);

/// Takes one retry; false when the budget is used up.
bool take_retry(retry_budget& budget, steady_time now);

}  // namespace mimosavalve::traffic
