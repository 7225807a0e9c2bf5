#pragma once

#include "control/control_state.hpp"

namespace mimosavalve::control::detail {

/// Reads the shard state from the store and adopts it when it is newer. If this daemon holds the
/// leader key, it then claims the state: writes it with itself as leader and a higher epoch.
void read_state(control_state& self, shard_entry& entry, steady_time now);

/// Writes a state by compare-and-swap. The caller sets all members except the nonce. The state is
/// sent to no router before the store has confirmed the write.
void begin_write(control_state& self, shard_entry& entry, ownership::shard_state next,
                 std::vector<std::string> lost_targets, std::vector<event> changes,
                 steady_time now);

/// Reads a missing state, claims the state under a new lease, and reads back a write whose outcome
/// is unknown, when due.
void tick_shard_write(control_state& self, shard_entry& entry, steady_time now);

}  // namespace mimosavalve::control::detail
