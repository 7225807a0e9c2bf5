#pragma once

#include <chrono>
#include <cstdint>

#include "mimosavalve/core/types.hpp"

namespace mimosavalve::control {

using std::chrono::milliseconds;

/// Intervals and limits of the control protocol. All daemons of a fleet use the same values.
struct timing {
    milliseconds heartbeat_interval{100};  ///< Interval between two renewals of serving leases.
    /// Time for which one confirmation of a serving lease by a voter is valid.
    milliseconds lease_window{600};
    int clock_rate_margin_percent = 2;  ///< Maximum difference between two hosts' clock rates.
    /// Maximum time from the send of a request to a keyed target until its `Start-By`.
    milliseconds start_window{250};
    milliseconds start_margin{20};  ///< Extra wait after `start_window` before a grant.

    milliseconds store_lease_ttl{1000};
    milliseconds store_lease_renewal_interval{300};
    milliseconds store_timeout{250};         ///< Deadline of one store operation.
    milliseconds store_retry_delay{100};     ///< Delay after a store operation without an answer.
    milliseconds store_watch_timeout{5000};  ///< Maximum wait of one watch.
    /// Delay of a candidate after the one of the next lower rank.
    milliseconds candidate_rank_delay{30};
    /// Minimum delay before a router that is not a voter tries to lead.
    milliseconds non_voter_candidate_delay{3000};

    /// Maximum deadline of a grant or revocation sent to a target.
    milliseconds target_call_timeout{300};
    /// Delay before an unacknowledged message, grant or revocation is sent again.
    milliseconds resend_interval{50};
    /// Maximum delay before the previous owners of finished handovers are cleared in the store.
    milliseconds max_cleanup_delay{100};
    /// The leader stops sending states to a router after this time without a message from it.
    milliseconds receiver_timeout{2000};
    /// A router that has sent no renewal request for this time no longer counts as live, and is
    /// removed from the voters.
    milliseconds peer_timeout{3000};
    std::uint32_t max_voters = 9;

    milliseconds host_list_interval{500};
    milliseconds probe_interval{250};
    milliseconds failed_probe_interval{100};  ///< Interval between probes of a failing target.
    milliseconds probe_timeout{200};
    milliseconds min_failure_duration{300};  ///< Failures shorter than this are no loss.
    /// Extra delay when several failure domains look lost at once.
    milliseconds multi_domain_loss_delay{2000};
    milliseconds loss_count_window{60000};  ///< Losses of one target are counted over this time.
    /// A target that is lost too often is not used again for this time.
    milliseconds return_delay{30000};
    /// Number of counted losses from which `return_delay` applies.
    std::uint32_t losses_before_return_delay = 3;
    std::uint32_t probers_per_target = 3;  ///< Number of routers that probe one target.

    /// Maximum number of slots moved per service and round of rebalancing.
    std::uint32_t max_moves_per_round = 8;
    milliseconds rebalance_interval{1000};
    /// Minimum time between two plans; a plan copies the state, which is too costly after each
    /// message.
    milliseconds plan_interval{10};

    milliseconds max_claim_clock_skew{250};  ///< Maximum difference between two wall clocks.
    /// Time after its first attempt for which a claimed key is kept.
    milliseconds claim_retention{600000};
    std::uint32_t max_claims = 200000;  ///< Maximum number of claimed keys per shard.
    /// Time for which requests with a fingerprint are quarantined.
    milliseconds quarantine_duration{600000};
};

/// Returns the upper bound of a duration as measured by another host's clock.
inline steady_time::duration lengthened(steady_time::duration length, const timing& intervals) {
    return length + length * intervals.clock_rate_margin_percent / 100;
}

/// Returns the lower bound of a duration as measured by another host's clock.
inline steady_time::duration shortened(steady_time::duration length, const timing& intervals) {
    return length - length * intervals.clock_rate_margin_percent / 100;
}

}  // namespace mimosavalve::control
