#pragma once

#include "control/control_state.hpp"

namespace mimosavalve::control::detail {

/// Passes a message to the handler of its kind.
void dispatch(control_state& self, const wire::Envelope& message, steady_time now);

}  // namespace mimosavalve::control::detail
