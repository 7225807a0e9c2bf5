#pragma once

#include "control/control_state.hpp"

namespace mimosavalve::control::detail {

/// Whether the held state was written by this daemon as leader.
bool is_leading(const control_state& self, const shard_entry& entry);

/// Whether the leader may act now: its version is in force and its serving lease is valid.
bool may_act(const control_state& self, const shard_entry& entry, steady_time now);

/// Whether the leader may change the recorded state: as `may_act`, but by its store lease alone.
/// Without a serving lease only the voter set may change, so that a shard whose voters are all
/// gone can get new ones.
bool may_write(const control_state& self, const shard_entry& entry, steady_time now);

/// A process answered a request that was sent at `sent`, after the state was taken that lists
/// another instance of its host as a voter. A host runs one instance at a time, so the listed one
/// is dead: it confirms nothing any more, and its promises end within one lease window.
void note_replaced_voter(control_state& self, shard_entry& entry, const instance_id& answered,
                         steady_time sent, steady_time now);

/// Starts to put an own state in force, or steps down for another leader's.
void note_adopted_as_leader(control_state& self, shard_entry& entry, steady_time now);

/// Evidence, load and held version of a router that renews.
void note_renewal_as_leader(control_state& self, shard_entry& entry, const wire::Envelope& message,
                            const wire::ShardRenewal& renewal, steady_time now);

void handle_state_accepted(control_state& self, const wire::Envelope& message, steady_time now);
void handle_state_drained(control_state& self, const wire::Envelope& message, steady_time now);

/// Does what became possible: in force, handovers, sending states. Called after each input that
/// can move the leader on.
void advance_leader(control_state& self, shard_entry& entry, steady_time now);

void tick_leader(control_state& self, steady_time now);

}  // namespace mimosavalve::control::detail
