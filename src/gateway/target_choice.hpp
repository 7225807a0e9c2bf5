#pragma once

#include <cstdint>
#include <span>

#include "mimosavalve/gateway/target_table.hpp"

namespace mimosavalve::gateway::detail {

// Maximum number of requests of all routers that queue at a target, so that no slot is idle until
// the next request arrives. It does not depend on the number of slots, since neither does the time
// of the transfer.
inline constexpr std::uint32_t max_queued_at_target = 4;

/// A target without keys that may be sent a request now.
struct candidate {
    target_state* target = nullptr;
    double transfer_ms = 0;
    double total_ms = 0;  ///< Expected time until the answer, transfer included.
};

/// Returns the fastest candidate, or among candidates that are about as fast and have the same
/// transfer time, the one whose last request was sent earliest; null if there is none.
target_state* pick_candidate(std::span<const candidate> from);

}  // namespace mimosavalve::gateway::detail
