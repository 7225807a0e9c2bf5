#pragma once

#include "control/control_state.hpp"

namespace mimosavalve::control::detail {

/// Whether this daemon holds the leader key and its store lease is valid by this host's clock.
bool has_store_lease(const shard_entry& entry, steady_time now);

/// Returns the end of the store's vote that this daemon may cast for the held state; 0 when it may
/// cast none. The state must have been claimed under the current lease: after a lapse of the lease
/// another leader may have put a newer state in force with the same vote.
steady_time store_vote_until(const control_state& self, const shard_entry& entry);

/// Competes for the leader key, renews the lease, and revokes it when resigning.
void tick_store_lease(control_state& self, shard_entry& entry, steady_time now);

}  // namespace mimosavalve::control::detail
