#include "mimosavalve/gateway/owner_admission.hpp"

#include <algorithm>

namespace mimosavalve::gateway {

wait_estimate estimate_owner_wait(const routing_state& state, const target_state& owner,
                                  std::uint32_t requests_ahead, boot_time now) {
    wait_estimate estimate;
    estimate.requests_ahead = requests_ahead;
    // Time until the answer, which includes the wait of some requests for a slot at the target.
    estimate.answer_ms = std::max(owner.answer_ms, work_ms_of(state, owner));
    estimate.concurrency = owner.entry.slots;
    if (owner.rate.per_second > 0) {
        estimate.admitted_ms = admitted_in_ms(owner.rate, requests_ahead, now);
    }
    return estimate;
}

bool has_quota_no_room(const target_state& owner, milliseconds objective_time_left, boot_time now) {
    return admitted_in_ms(owner.rate, 0, now) >
           static_cast<double>(std::max(objective_time_left, milliseconds(0)).count());
}

}  // namespace mimosavalve::gateway
