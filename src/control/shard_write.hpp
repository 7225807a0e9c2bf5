#pragma once

#include "control/control_state.hpp"

namespace mimosavalve::control::detail {

/// Reads the shard state from the store, to learn it, or to claim it while the key is held.
void read_state(control_state& self, shard_entry& entry, steady_time now);

/// Writes a state by compare-and-swap. The caller has set everything but the nonce. Nothing is
/// sent to anybody before the store has confirmed the write.
void begin_write(control_state& self, shard_entry& entry, ownership::shard_state next,
                 std::vector<std::string> lost_targets, std::vector<event> changes,
                 steady_time now);

/// Reads unknown states, claims after a new lease, and reads back undecided writes when due.
void tick_shard_write(control_state& self, shard_entry& entry, steady_time now);

}  // namespace mimosavalve::control::detail
