#pragma once

#include <optional>
#include <string>
#include <vector>

#include "control.pb.h"
#include "mimosavalve/control/control_plane.hpp"
#include "mimosavalve/observe/event_record.hpp"

namespace mimosavalve::router {

void to_wire(const observe::event_record& from, wire::EventRecord& to);

/// Decodes an event record; nothing when its kind is unknown.
std::optional<observe::event_record> from_wire(const wire::EventRecord& from);

void to_wire(const observe::event_query& from, wire::EventsQuery& to);
observe::event_query from_wire(const wire::EventsQuery& from);

void set_sender(wire::Envelope& message, const instance_id& sender, const std::string& address);

/// Event records of a decision of the control thread, one for each subject that it concerns.
std::vector<observe::event_record> to_records(const control::event& event, std::uint64_t unix_ms);

}  // namespace mimosavalve::router
