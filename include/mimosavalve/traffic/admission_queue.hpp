#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "mimosavalve/config/fleet_config.hpp"
#include "mimosavalve/core/types.hpp"

namespace mimosavalve::traffic {

/// A request that waits for room at its target. Owned by the code that waits.
struct waiting_request {
    std::string account;
    config::traffic_class priority = config::traffic_class::status;
    std::uint32_t cost = 1;  ///< Size of the body in pieces of 64 KB; at least 1.
    steady_time deadline;
    void* user_data = nullptr;  ///< Record of the code that waits; unused by the queue.
};

/// Waiting requests of one account in one class.
struct account_queue {
    std::string account;
    std::int64_t deficit = 0;  ///< Unused credit, in the unit of `waiting_request::cost`.
    std::deque<waiting_request*> requests;
};

/// Requests that wait for one target. Without the queue, a customer with many requests would fill
/// the target's window, and uploads would delay look-ups. Classes have strict priority; within a
/// class accounts are served by deficit round robin.
struct admission_queue {
    std::array<std::vector<account_queue>, 3> classes;  ///< Index: `config::traffic_class`.
    std::size_t size = 0;                               ///< Requests in all classes together.
    std::size_t max_size = 256;
};

/// Appends a request; false when the queue is full. The queue keeps the address of `request`, which
/// must stay valid until the request is popped or removed.
bool push(admission_queue& queue, waiting_request& request);

/// Removes and returns the next request to run, or null. Requests whose deadline has passed are
/// discarded silently: whoever waits for such a request must time out by itself.
waiting_request* pop(admission_queue& queue, steady_time now);

/// Removes a request; does nothing when it is not queued.
void remove(admission_queue& queue, const waiting_request& request);

}  // namespace mimosavalve::traffic
