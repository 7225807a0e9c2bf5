#pragma once

#include "control/control_state.hpp"

namespace mimosavalve::control::detail {

/// Watches the store's `config` value, and reads the host list when a read is due.
void tick_fleet_watch(control_state& self, steady_time now);

void handle_config_fetch(control_state& self, const wire::Envelope& message);
void handle_config_update(control_state& self, const wire::Envelope& message);

}  // namespace mimosavalve::control::detail
