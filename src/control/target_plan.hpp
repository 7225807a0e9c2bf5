#pragma once

#include "control/control_state.hpp"

namespace mimosavalve::control::detail {

/// The next state while it is being planned.
struct planned_state {
    ownership::shard_state next;
    std::vector<std::string> lost_targets;  ///< Targets that the state declares lost.
    std::vector<event> changes;
};

/// Adds, updates and removes targets according to the host list, the configuration, probes and
/// evidence.
void plan_targets(control_state& self, shard_entry& entry, planned_state& plan, steady_time now);

}  // namespace mimosavalve::control::detail
