#pragma once

#include "control.pb.h"
#include "mimosavalve/ownership/shard_state.hpp"

namespace mimosavalve::ownership {

/// Converts between the structs and the messages on the wire.
void to_wire(const version& from, wire::Version& to);
version from_wire(const wire::Version& from);
void to_wire(const instance_id& from, wire::Instance& to);
instance_id from_wire(const wire::Instance& from);
void to_wire(const shard_id& from, wire::Shard& to);
shard_id from_wire(const wire::Shard& from);
void to_wire(const shard_state& from, wire::ShardState& to);

/// Converts a message to a state; std::nullopt when the message is not a valid state (no shard,
/// overlapping or unsorted ranges, unknown condition of a target).
std::optional<shard_state> from_wire(const wire::ShardState& from);

}  // namespace mimosavalve::ownership
