#pragma once

#include <cstdint>

#include "mimosavalve/gateway/admission.hpp"
#include "mimosavalve/gateway/target_table.hpp"

namespace mimosavalve::gateway {

/// Estimates the wait of a request for a key behind `requests_ahead` others of this router for the
/// same owner. Where a rate quota is in force, only its tokens count.
wait_estimate estimate_owner_wait(const routing_state& state, const target_state& owner,
                                  std::uint32_t requests_ahead, boot_time now);

/// Whether the quota admits no further request to the owner within the objective of one that waits.
bool has_quota_no_room(const target_state& owner, milliseconds objective_time_left, boot_time now);

}  // namespace mimosavalve::gateway
