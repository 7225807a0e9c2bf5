#pragma once

#include "mimosavalve/core/types.hpp"

namespace mimosavalve::traffic {

/// Limits retries to a share of the requests, so that a failing target, which can handle less than
/// usual, does not receive a multiple of its usual load. A small constant rate allows retries on a
/// router with few requests too.
struct retry_budget {
    double retries_per_request = 0.1;  ///< Retries added by each request.
    double retries_per_second = 3;     ///< Retries added independently of requests.
    double max_available = 30;         ///< Maximum of `available`.
    double available = 3;              ///< Retries that may be made now.
    steady_time last_refill;           ///< The epoch before the first refill.
};

/// Adds the retries for the first attempt of a request.
void record_first_attempt(retry_budget& budget);

/// Takes one retry from the budget; false when less than one is available.
bool try_acquire_retry(retry_budget& budget, steady_time now);

}  // namespace mimosavalve::traffic
