#pragma once

#include "control/control_state.hpp"

namespace mimosavalve::control::detail {

/// Whether the held state was written by this daemon as leader.
bool is_leading(const control_state& self, const shard_entry& entry);

/// Whether the leader may act now: its version is in force and its serving lease is valid.
bool can_act(const control_state& self, const shard_entry& entry, steady_time now);

/// Whether the leader may write a new state: its version is in force, and it was claimed under a
/// store lease that is still valid. No serving lease is required, so that a shard whose voters are
/// all gone can get new ones; without it, targets and assignments must not change.
bool can_write_state(const control_state& self, const shard_entry& entry, steady_time now);

/// Records a voter as dead when another instance of its host has answered. `answered` replied to a
/// request that was sent at `sent`; only requests sent after the held state was adopted count. A
/// host runs one instance at a time, so the voter confirms nothing any more, and its confirmations
/// end within one lease window.
void record_replaced_voter(control_state& self, shard_entry& entry, const instance_id& answered,
                           steady_time sent, steady_time now);

/// Starts to put an adopted state in force that this daemon wrote; for the state of another leader,
/// discards the state of this daemon as leader.
void on_adopted_as_leader(control_state& self, shard_entry& entry, steady_time now);

/// Records the evidence, load, held version and drained version in a renewal from a router.
void on_renewal_as_leader(control_state& self, shard_entry& entry, const wire::Envelope& message,
                          const wire::ShardRenewal& renewal, steady_time now);

void handle_state_accepted(control_state& self, const wire::Envelope& message, steady_time now);
void handle_state_drained(control_state& self, const wire::Envelope& message, steady_time now);

/// Checks whether the version is in force, advances handovers, sends the state to routers and plans
/// the next state. Called after each input on which one of these may depend.
void advance_leader(control_state& self, shard_entry& entry, steady_time now);

void tick_leader(control_state& self, steady_time now);

}  // namespace mimosavalve::control::detail
