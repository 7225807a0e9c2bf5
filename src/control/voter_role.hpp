#pragma once

#include "control/control_state.hpp"

namespace mimosavalve::control::detail {

/// Accepts the held state as a voter and reports the acceptance to its leader.
void accept_as_voter(control_state& self, shard_entry& entry, steady_time now);

/// Reports to the leader of the held state that this voter has accepted it, with the unexpired
/// confirmations for older versions. Does nothing unless the state lists this process as a voter.
void report_accepted(control_state& self, shard_entry& entry, steady_time now);

void handle_renew_request(control_state& self, const wire::Envelope& message, steady_time now);
void handle_state_fetch(control_state& self, const wire::Envelope& message, steady_time now);

/// Discards ended confirmations, and routers without a renewal request within `peer_timeout`.
void tick_voter(control_state& self, steady_time now);

using quarantine_list = google::protobuf::RepeatedPtrField<wire::Quarantined>;

/// Adds the fingerprints of requests that another router has quarantined.
void merge_quarantine(control_state& self, const quarantine_list& from, steady_time now);
/// Adds the quarantined fingerprints of this router to a message.
void add_quarantine(const control_state& self, quarantine_list& out, steady_time now);

}  // namespace mimosavalve::control::detail
