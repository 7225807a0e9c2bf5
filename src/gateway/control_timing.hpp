#pragma once

#include <algorithm>

#include "mimosavalve/gateway/call_client.hpp"
#include "mimosavalve/gateway/clock.hpp"

namespace mimosavalve::gateway::detail {

// Longest time of one call to the store; it answers in a few milliseconds when it is well.
constexpr milliseconds store_call_time{800};
// After failed calls, the pause grows up to a bit over a second: every refused call is charged and
// loads a store that is in trouble.
constexpr milliseconds first_pause{200};
constexpr milliseconds longest_pause{1200};

inline call_deadline call_in(milliseconds time) {
    return std::chrono::steady_clock::now() + time;
}

inline milliseconds next_pause(milliseconds pause) {
    return std::min(std::max(pause * 2, first_pause), longest_pause);
}

}  // namespace mimosavalve::gateway::detail
