#pragma once

#include <cstdint>

namespace mimosavalve::gateway::detail {

// Maximum number of requests of all routers that queue at a target, so that no slot is idle until
// the next request arrives. It does not depend on the number of slots, since neither does the time
// of the transfer.
inline constexpr std::uint32_t max_queued_at_target = 4;

}  // namespace mimosavalve::gateway::detail
