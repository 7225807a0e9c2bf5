#pragma once

#include "control/control_state.hpp"

namespace mimosavalve::control::detail {

/// Takes what the traffic threads saw.
void note_traffic(control_state& self, const traffic_report& report);

/// Adds what this router saw of targets to a renewal to their leader.
void add_evidence(const control_state& self, wire::ShardRenewal& out, steady_time now);

/// Starts to count anew after a report.
void forget_reported(control_state& self);

/// Takes a router's report as leader.
void take_evidence(control_state& self, leadership& leader, const wire::Envelope& message,
                   const wire::ShardRenewal& renewal, steady_time now);

/// Probes targets that this router is chosen for, that fail, or that it leads and nobody sees.
void tick_probes(control_state& self, steady_time now);

}  // namespace mimosavalve::control::detail
