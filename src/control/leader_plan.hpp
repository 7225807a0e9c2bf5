#pragma once

#include "control/control_state.hpp"

namespace mimosavalve::control::detail {

/// Writes the next state when targets, assignments, voters, the configuration version or finished
/// handovers require a change. Does nothing unless the held version is in force, the store lease is
/// valid and no write is pending. Targets and assignments change only with a valid serving lease.
void plan_and_write(control_state& self, shard_entry& entry, steady_time now);

}  // namespace mimosavalve::control::detail
