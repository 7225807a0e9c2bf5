#pragma once

#include <algorithm>

#include "mimosavalve/gateway/call_client.hpp"
#include "mimosavalve/gateway/clock.hpp"

namespace mimosavalve::gateway::detail {

// Timeout of one call to the store, which normally answers within a few milliseconds.
constexpr milliseconds store_call_time{800};
// Timeout of a router's call to its leader, which delays its reply until state has changed.
constexpr milliseconds sync_call_time{900};
// The pause after failed calls doubles up to `max_pause`: every refused call is charged, and adds
// load to a store that already has a fault.
constexpr milliseconds min_pause{200};
constexpr milliseconds max_pause{1200};

// The leader's lease ends this long after its last renewal has reached the store, unless the store
// grants only longer ones; holds of keys outlast it.
constexpr milliseconds min_leader_lease{1200};

constexpr milliseconds leader_lease_time(milliseconds min_of_store) {
    return std::max(min_leader_lease, min_of_store);
}

inline call_deadline deadline_in(milliseconds time) {
    return std::chrono::steady_clock::now() + time;
}

inline milliseconds next_pause(milliseconds pause) {
    return std::min(std::max(pause * 2, min_pause), max_pause);
}

}  // namespace mimosavalve::gateway::detail
