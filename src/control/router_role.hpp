#pragma once

#include "control/control_state.hpp"

namespace mimosavalve::control::detail {

/// Takes a state that is newer than the held one: as router, as voter, and as leader that is
/// replaced. False when it is not newer.
bool adopt(control_state& self, shard_entry& entry,
           std::shared_ptr<const ownership::shard_state> state, steady_time now);

/// Raises the newest version whose moves are activated; it never goes back.
void note_activated(control_state& self, shard_entry& entry, const version& activated);

/// Publishes a new snapshot when something that routing depends on has changed.
void publish_if_changed(control_state& self);

void handle_state_update(control_state& self, const wire::Envelope& message, steady_time now);
void handle_renew_reply(control_state& self, const wire::Envelope& message, steady_time now);
void handle_activate(control_state& self, const wire::Envelope& message);

/// Renews serving leases, fetches unknown states, and reports drained versions when due.
void tick_router(control_state& self, steady_time now);

}  // namespace mimosavalve::control::detail
