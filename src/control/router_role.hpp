#pragma once

#include "control/control_state.hpp"

namespace mimosavalve::control::detail {

/// Adopts a state that is newer than the held one, in the roles of router, voter and leader.
/// Returns false when it is not newer.
bool adopt_state(control_state& self, shard_entry& entry,
                 std::shared_ptr<const ownership::shard_state> state, steady_time now);

/// Records that all moves up to a version are activated. An older version, or one that is newer
/// than the held state, is ignored.
void record_activated(control_state& self, shard_entry& entry, const version& activated);

/// Publishes a new snapshot when something that routing depends on has changed.
void publish_if_changed(control_state& self);

void handle_state_update(control_state& self, const wire::Envelope& message, steady_time now);
void handle_renew_reply(control_state& self, const wire::Envelope& message, steady_time now);
void handle_activate(control_state& self, const wire::Envelope& message);

/// Renews serving leases, fetches missing and outdated states, and reports drained versions when
/// due.
void tick_router(control_state& self, steady_time now);

}  // namespace mimosavalve::control::detail
