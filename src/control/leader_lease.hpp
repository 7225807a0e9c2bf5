#pragma once

#include "control/control_state.hpp"

namespace mimosavalve::control::detail {

/// Whether the store lease is valid by the own clock.
bool has_store_lease(const shard_entry& entry, steady_time now);

/// End of the store's vote that this daemon may cast for the held state; 0 when it may not.
/// Only a state that was claimed under the lease counts: after a lapse another leader may have
/// put a newer state in force with the same vote.
steady_time store_vote_until(const control_state& self, const shard_entry& entry);

/// Competes for the leader key, renews the lease, and gives it up when resigning.
void tick_store_lease(control_state& self, shard_entry& entry, steady_time now);

}  // namespace mimosavalve::control::detail
