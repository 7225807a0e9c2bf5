#pragma once

#include <chrono>
#include <cstdint>

#include "mimosavalve/core/types.hpp"

namespace mimosavalve::control {

using std::chrono::milliseconds;

/// Intervals and limits of the control protocol. All daemons of a fleet use the same values.
struct timing {
    milliseconds heartbeat_interval{100};  ///< Between two renewals of serving leases.
    milliseconds lease_window{600};        ///< Length of one confirmation.
    int clock_rate_margin_percent = 2;     ///< Largest difference of two hosts' clock rates.
    milliseconds start_window{250};        ///< Longest `Start-By` of a request to a keyed target.
    milliseconds start_margin{20};         ///< Added to `start_window` before a grant.

    milliseconds store_lease_ttl{1000};
    milliseconds store_lease_renewal{300};
    milliseconds store_timeout{250};    ///< Deadline of one store operation.
    milliseconds store_retry{100};      ///< After a store operation without an answer.
    milliseconds store_watch{5000};     ///< Longest wait of one watch.
    milliseconds candidate_step{30};    ///< Head start of a candidate over the next one by rank.
    milliseconds recovery_delay{3000};  ///< Before a router that is no voter tries to lead.

    milliseconds order_timeout{300};    ///< Longest deadline of an order to a target.
    milliseconds resend_interval{50};   ///< Before an unacknowledged message or order is repeated.
    milliseconds finish_delay{100};     ///< Longest wait before finished handovers are recorded.
    milliseconds router_timeout{2000};  ///< A router not heard for this long is not sent states.
    milliseconds voter_timeout{3000};   ///< A voter not heard for this long is removed.
    std::uint32_t most_voters = 9;

    milliseconds host_list_interval{500};
    milliseconds probe_interval{250};
    milliseconds failed_probe_interval{100};  ///< Between probes of a target that fails.
    milliseconds probe_timeout{200};
    milliseconds loss_after{300};       ///< Failures must last this long.
    milliseconds wide_loss_hold{2000};  ///< Extra wait when several failure domains look lost.
    milliseconds loss_memory{60000};    ///< Losses of one target are counted over this time.
    milliseconds return_hold{30000};    ///< A target lost too often stays out this long.
    std::uint32_t losses_before_hold = 3;
    std::uint32_t probers = 3;  ///< Routers that probe one target.

    std::uint32_t moves_per_round = 8;  ///< Slots moved in one round of rebalancing.
    milliseconds rebalance_interval{1000};
    milliseconds plan_interval{10};  ///< A plan copies the state, so not after each message.

    milliseconds claim_clock_skew{250};  ///< Largest difference of two wall clocks.
    milliseconds claim_retention{600000};
    std::uint32_t most_claims = 200000;
    milliseconds quarantine{600000};  ///< How long a request's fingerprint is held back.
};

/// Upper bound of a duration on another host's clock.
inline steady_time::duration lengthened(steady_time::duration length, const timing& intervals) {
    return length + length * intervals.clock_rate_margin_percent / 100;
}

/// Lower bound of a duration on another host's clock.
inline steady_time::duration shortened(steady_time::duration length, const timing& intervals) {
    return length - length * intervals.clock_rate_margin_percent / 100;
}

}  // namespace mimosavalve::control
