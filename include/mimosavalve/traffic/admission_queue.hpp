#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "mimosavalve/config/fleet_config.hpp"
#include "mimosavalve/core/types.hpp"

namespace mimosavalve::traffic {

/// A request that waits for room at its target. Kept by the one who waits.
struct waiting_request {
    std::string account;
    config::traffic_class priority = config::traffic_class::status;
    std::uint32_t cost = 1;  ///< Pieces of 64 KB.
    steady_time deadline;
    void* owner = nullptr;  ///< What the one who waits finds its own record by.
};

/// Requests of one account in one class.
struct account_queue {
    std::string account;
    std::int64_t deficit = 0;
    std::deque<waiting_request*> requests;
};

/// Requests that wait for one target. Without it, a customer with many requests would fill the
/// target's window, and uploads would hold up look-ups. Classes go in strict order; within a class
/// accounts take turns by deficit round robin.
struct admission_queue {
    std::array<std::vector<account_queue>, 3> classes;
    std::size_t size = 0;
    std::size_t largest = 256;
};

/// False when the queue is full. `request` must stay in place until it was popped or removed.
bool push(admission_queue& queue, waiting_request& request);

/// Next request to run, or null. Requests whose deadline has passed are dropped: those who wait
/// for them notice by their own timer.
waiting_request* pop(admission_queue& queue, steady_time now);

/// Takes a request back; nothing happens when it is not queued.
void remove(admission_queue& queue, const waiting_request& request);

}  // namespace mimosavalve::traffic
