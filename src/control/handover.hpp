#pragma once

#include "control/control_state.hpp"

namespace mimosavalve::control::detail {

/// Takes the runs of a newly adopted own state over; keeps the progress of unchanged ones. With
/// `new_epoch`, runs with a previous owner are marked for the proof by time only.
void follow_handovers(shard_entry& entry, bool new_epoch);

/// Revokes, grants and activates what may be, in this order for each run.
void advance_handovers(control_state& self, shard_entry& entry, steady_time now);

/// Whether the previous owner is proved to have stopped and the owner has its grant.
bool is_finished(const handover& item);

/// Whether a write that clears finished previous owners is due.
bool finish_is_due(const control_state& self, const shard_entry& entry, steady_time now);

/// Clears the previous owners of finished runs in the next state.
void clear_finished(const shard_entry& entry, ownership::shard_state& next);

}  // namespace mimosavalve::control::detail
