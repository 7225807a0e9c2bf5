#pragma once

#include "control/control_state.hpp"

namespace mimosavalve::control::detail {

/// Accepts the held state as a voter and reports it to its leader.
void accept_as_voter(control_state& self, shard_entry& entry, steady_time now);

/// Tells the leader of the held state that it is accepted, with the open promises for older ones.
void report_accepted(control_state& self, shard_entry& entry, steady_time now);

void handle_renew_request(control_state& self, const wire::Envelope& message, steady_time now);
void handle_state_fetch(control_state& self, const wire::Envelope& message, steady_time now);

/// Forgets ended promises and routers that are gone; repeats a report until the version is known
/// to be accepted.
void tick_voter(control_state& self, steady_time now);

using quarantine_list = google::protobuf::RepeatedPtrField<wire::Quarantined>;

/// Takes over fingerprints of requests that another router holds back.
void merge_quarantine(control_state& self, const quarantine_list& from, steady_time now);
void add_quarantine(const control_state& self, quarantine_list& out, steady_time now);

}  // namespace mimosavalve::control::detail
