#pragma once

#include "mimosavalve/gateway/clock.hpp"

namespace mimosavalve::gateway::detail {

// Usual duration of a handover, and the maximum wait that is announced.
inline constexpr milliseconds usual_handover_time{250};
inline constexpr milliseconds max_announced_wait{60000};

}  // namespace mimosavalve::gateway::detail
