#pragma once

#include "control/control_state.hpp"

namespace mimosavalve::control::detail {

/// Writes the next state when something has to change: targets, assignments, voters, configuration
/// version, finished handovers. Only with a version in force, both leases and no undecided write.
void plan_and_write(control_state& self, shard_entry& entry, steady_time now);

}  // namespace mimosavalve::control::detail
