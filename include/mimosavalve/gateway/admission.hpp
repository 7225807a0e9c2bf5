#pragma once

#include <cstdint>

#include "mimosavalve/gateway/clock.hpp"

namespace mimosavalve::gateway {

/// What is known about the wait of a request that finds no free target.
struct wait_estimate {
    std::uint32_t ahead = 0;   ///< Requests of this router that wait for the same targets.
    double places = 1;         ///< Requests that this router may have at these targets.
    double work_ms = 0;        ///< Mean time of an answer; 0: not known yet.
    double known_wait_ms = 0;  ///< Time until anybody can run the request at all.
};

/// Time until a free target may be expected, in ms.
double expected_wait_ms(const wait_estimate& estimate);

/// Answers the load of a burst or a lasting overload: more requests than the targets can run. A
/// request that would be answered after its objective only takes the place of one that would be in
/// time, so it is refused while its caller still has time to come back.
bool should_refuse(const wait_estimate& estimate, milliseconds objective_left);

/// When the caller should come back: after the queue has emptied, spread by `random` (0 to 1) so
/// that refused callers do not return together, and soon enough that there is time to serve them.
milliseconds retry_after(const wait_estimate& estimate, milliseconds caller_left, double random);

}  // namespace mimosavalve::gateway
