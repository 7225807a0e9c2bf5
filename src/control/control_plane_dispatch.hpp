#pragma once

#include "control/control_state.hpp"

namespace mimosavalve::control::detail {

/// Hands a message to the role that it is for.
void dispatch(control_state& self, const wire::Envelope& message, steady_time now);

}  // namespace mimosavalve::control::detail
