#pragma once

#include "control/control_state.hpp"

namespace mimosavalve::control::detail {

/// Records a report of the traffic threads.
void record_traffic(control_state& self, const traffic_report& report);

/// Adds this router's evidence about targets to a renewal to their leader.
void add_evidence(const control_state& self, wire::ShardRenewal& out, steady_time now);

/// Resets the counts that a report has just sent.
void reset_reported_evidence(control_state& self);

/// Records the evidence and the load in a router's renewal, as leader.
void receive_evidence(control_state& self, leadership& leader, const wire::Envelope& message,
                      const wire::ShardRenewal& renewal, steady_time now);

/// Probes the targets for which a probe is due: those for which this router is a chosen prober,
/// those at which its last attempts failed, and, in shards that it leads, those that are not active
/// or have no recent success at any router, since the chosen probers may all be gone.
void tick_probes(control_state& self, steady_time now);

}  // namespace mimosavalve::control::detail
