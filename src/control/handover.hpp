#pragma once

#include "control/control_state.hpp"

namespace mimosavalve::control::detail {

/// Replaces the handovers by the assignments of a newly adopted state that this daemon wrote; keeps
/// the progress of unchanged assignments. With `new_epoch`, assignments with a previous owner are
/// excluded from the proof by revocation.
void update_handovers(shard_entry& entry, bool new_epoch);

/// Sends the revocations and grants that are due, then activates the newest version up to
/// which all handovers are finished.
void advance_handovers(control_state& self, shard_entry& entry, steady_time now);

/// Whether the previous owner is proved to have stopped and the owner has accepted its grant.
bool is_finished(const handover& item);

/// Whether a write is due that clears the previous owners of finished handovers.
bool is_cleanup_due(const control_state& self, const shard_entry& entry, steady_time now);

/// Clears the previous owners of finished handovers in the next state.
void clear_finished_handovers(const shard_entry& entry, ownership::shard_state& next);

}  // namespace mimosavalve::control::detail
