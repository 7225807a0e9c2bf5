#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "mimosavalve/gateway/clock.hpp"

namespace mimosavalve::gateway {

// Which host leads a fleet whose hosts differ in capacity. A leader on a small host whose event
// loop is late renews grants late, so that targets refuse requests for keys that they own. A fleet
// of equal hosts elects its leaders at random.

/// Lag of the event loop from which a router counts as lagging.
inline constexpr milliseconds min_lag{100};

/// Maximum lag of the event loop by second.
struct lag_history {
    static constexpr std::size_t kept_seconds = 3;

    std::array<milliseconds, kept_seconds> past{};  ///< Complete seconds, the last one first.
    milliseconds current{0};                        ///< In the second that has begun.
    boot_time current_end;                          ///< Of that second.
};

/// Records the lag that a check of the event loop has measured now.
void record_lag(lag_history& history, milliseconds lag, boot_time now);
/// Maximum lag in the current second and the last complete one.
milliseconds recent_lag(const lag_history& history);
/// Whether the lag reached this value in each of the last complete seconds.
bool has_lagged(const lag_history& history, std::size_t seconds, milliseconds lag);

/// A leader's announcement of the host that is to lead next.
struct transfer_notice {
    std::string successor;    ///< Empty: no transfer is in progress.
    std::uint64_t epoch = 0;  ///< Of the leader that transfers its leadership.
    boot_time valid_until;
};

/// What a router knows of the hosts that may lead.
struct placement_state {
    /// Largest capacity of the fleet's hosts, in cores; 0 if it is not known, or if no two hosts
    /// differ.
    double top_capacity = 0;
    lag_history lag;  ///< Of this router's event loop.
    transfer_notice transfer;
    /// When a successor was last named, as far as this router knows.
    std::optional<boot_time> transferred_at;
};

/// Records the successor that the leader with this epoch names; empty: none.
void record_successor(placement_state& placement, std::string_view successor, std::uint64_t epoch,
                      boot_time now);

/// A router that may stand for election.
struct election_candidate {
    std::string_view host;
    double capacity = 1;
    /// Random, so that usually only one of equal candidates writes to the store.
    milliseconds random_delay{0};
};
/// Time that a candidate waits after the leader with the epoch `ended_epoch` has ended. A named
/// successor does not wait and the others wait longer. Where hosts differ in capacity, the wait
/// grows with the shortfall from the largest one and with the lag of the event loop.
milliseconds candidacy_delay(const placement_state& placement, const election_candidate& candidate,
                             std::uint64_t ended_epoch, boot_time now);

/// A follower as a possible successor of the leader.
struct successor_candidate {
    std::string host;
    double capacity = 1;
    /// Whether it calls regularly and can reach the store.
    bool can_lead = false;
    /// Whether its event loop has lagged while a transfer by lag is decided.
    bool has_lagged = false;
};
/// The leader that may transfer its leadership.
struct transfer_conditions {
    double capacity = 1;
    boot_time term_began;
    bool store_responsive = true;
    bool stopping = false;
};
/// Why leadership is transferred.
enum class transfer_reason { capacity, lag };
struct planned_transfer {
    std::string successor;
    transfer_reason reason = transfer_reason::capacity;
};
/// Chooses a successor with at least twice the leader's capacity or, if the leader has been
/// lagging, one of at least its capacity that has not. None where hosts do not differ in capacity.
std::optional<planned_transfer> plan_transfer(const placement_state& placement,
                                              const transfer_conditions& leader,
                                              std::span<const successor_candidate> candidates,
                                              boot_time now);

/// Time over which the lag of the leader and its successor is compared.
inline constexpr milliseconds compared_lag_time{3000};
/// Time for which a leader waits for the call of the successor that it has named.
inline constexpr milliseconds max_successor_wait{300};

/// Cost of the sync calls that a leader serves, and of its replies.
struct reply_pacing {
    using cost = std::chrono::duration<double, std::milli>;

    cost per_call{0};    ///< Mean for a call, without its reply.
    cost per_reply{0};   ///< Mean for a reply.
    cost spent{0};       ///< Beyond the share of the loop's time that replies may take.
    boot_time spent_at;  ///< Time for which `spent` holds.
};
/// Records loop time that was spent on a call or on a reply.
void record_cost(reply_pacing& pacing, reply_pacing::cost cost, bool is_reply, boot_time now);
/// Minimum time between two replies to the same router, at which replies to all of them take half
/// of the loop's time; 0 while they cost less than that.
milliseconds reply_interval(const reply_pacing& pacing, std::size_t routers, boot_time now);

/// Loop time after which a leader lets other events run before it serves further calls.
inline constexpr milliseconds max_call_slice{10};

/// Whether the lag of the event loop lets the balancer direct new callers to this router.
struct readiness {
    struct spell {
        boot_time began;
        boot_time until;
    };
    boot_time lagged_at;        ///< Last check with `min_lag` or more.
    std::vector<spell> spells;  ///< Times without readiness; the last one may not have ended.
};
/// Records a check of the event loop; returns whether a time without readiness begins. It ends once
/// the loop has been punctual for a while, and all of them are limited to a small share of the
/// time, since an unready fleet is worse than a slow one. None begins where hosts do not differ in
/// capacity.
bool record_check(readiness& state, const placement_state& placement, milliseconds lag,
                  boot_time now);
bool is_ready(const readiness& state, boot_time now);

/// Largest of the capacities; 0 if no two of them differ.
double top_capacity_of(std::span<const double> capacities);

}  // namespace mimosavalve::gateway
