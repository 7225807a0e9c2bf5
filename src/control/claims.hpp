#pragma once

#include "control/control_state.hpp"

namespace mimosavalve::control::detail {

/// Claims a key for a request that this router received. Decides in this process when it is the
/// leader of the shard, else asks the leader.
void start_claim(control_state& self, const shard_id& shard, std::string_view key,
                 std::uint64_t first_attempt_unix_ms, steady_time deadline,
                 std::function<void(claim_status)> handler);

void handle_claim_request(control_state& self, const wire::Envelope& message);
void handle_claim_reply(control_state& self, const wire::Envelope& message);

/// Ends claims whose deadline has passed, with `no_leader`.
void tick_claims(control_state& self, steady_time now);

}  // namespace mimosavalve::control::detail
