#pragma once

#include <cstdint>

#include "mimosavalve/gateway/clock.hpp"

namespace mimosavalve::gateway {

/// Figures from which the wait of a request without a free target is estimated.
struct wait_estimate {
    std::uint32_t requests_ahead = 0;  ///< Requests waiting in this router for the same targets.
    double concurrency = 1;     ///< Requests that this router may have at these targets at a time.
    double answer_ms = 0;       ///< Mean time from the send to the answer; 0: unknown.
    double unavailable_ms = 0;  ///< Time until the first target can run the request.
};

/// Expected time until a target is free, in ms.
double expected_wait_ms(const wait_estimate& estimate);

/// Whether to refuse a request during a burst or a lasting overload, when there are more requests
/// than the targets can run. A request that would be answered after its objective would only delay
/// others that can be answered in time, so it is refused while its caller still has time to retry.
bool should_refuse(const wait_estimate& estimate, milliseconds objective_time_left);

/// Delay after which a refused caller should retry: the expected wait, spread by `random` (0 to 1)
/// so that refused callers do not retry together, but short enough that there is time to serve
/// them.
milliseconds retry_after(const wait_estimate& estimate, milliseconds caller_time_left,
                         double random);

}  // namespace mimosavalve::gateway
