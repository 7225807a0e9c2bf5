#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>

#include "mimosavalve/gateway/clock.hpp"

namespace mimosavalve::gateway {

/// What a target says about itself in an answer. It binds every host that passed the answer on.
struct answer_notice {
    /// Requests per second that it takes from all hosts together.
    std::optional<double> request_limit;
    bool leaving = false;  ///< It takes no new requests any more.
    /// Time for which it wants no requests from the host that it refused; at most `max_pause`.
    std::optional<milliseconds> pause;
    std::string problem;  ///< Value that could not be read, or was out of range; empty if none.
};

/// Bounds of a request limit. A target that names less still gets a request now and then, without
/// which nobody would learn that the limit has ended; one that names more has no limit in effect.
inline constexpr double min_request_limit = 0.1;
inline constexpr double max_request_limit = 1e6;

/// Maximum pause. A target that asks for more is tried again after it.
inline constexpr milliseconds max_pause = std::chrono::hours(1);

/// Time for which a share is valid without news of the leader. A leader counts the share of a
/// router that has vanished for longer.
inline constexpr milliseconds limit_share_time{5000};
/// Time after which a limit that no answer has named again no longer counts. At the lowest limit a
/// target answers a request every 10 s.
inline constexpr milliseconds limit_lifetime{30000};
/// Time for which routers tell each other that a limit has ended.
inline constexpr milliseconds limit_end_time{10000};

/// What a router knows of a target from its answers.
struct target_notice {
    std::uint64_t started_unix_ms = 0;  ///< Instance that said it.
    bool leaving = false;               ///< For the rest of the instance's life.
    double request_limit = 0;           ///< Requests per second of all hosts; 0: none.
    boot_time limit_said_at;  ///< When an answer last named the limit or showed that it has ended.
    std::optional<double> share;  ///< Requests per second that the leader allotted to this router.
    boot_time share_until;        ///< End of the share.
    double tokens = 0;            ///< Requests that may be sent now.
    boot_time tokens_at;          ///< When `tokens` was computed.
    boot_time paused_until;       ///< Until then it wants no requests from this router.
};

/// Records the limit that an answer names, or the lack of one. An answer to a request that was sent
/// before the limit was last named does not end it. Returns whether the limit has changed.
bool record_limit(target_notice& known, const answer_notice& notice, boot_time sent_at,
                  boot_time now);

/// Records the pause that a refusal asks for; a shorter one does not end a longer one. Returns
/// whether the target is now paused for longer than before.
bool record_pause(target_notice& known, milliseconds pause, boot_time now);

/// Whether the target wants no requests from this router now.
bool is_paused(const target_notice& known, boot_time now);

/// Whether this router is bound by a limit of the target.
bool is_limited(const target_notice& known, boot_time now);

/// Requests per second that this router may send: its share, or its part of half the limit while it
/// has none. The other half is left to routers with shares of a leader that this router has lost.
double allowed_rate(const target_notice& known, std::uint32_t routers, boot_time now);

/// Whether one more request keeps the limit.
bool has_token(target_notice& known, std::uint32_t routers, boot_time now);
void take_token(target_notice& known);

/// A limit as one router knows it.
struct limit_report {
    std::uint64_t started_unix_ms = 0;
    double request_limit = 0;  ///< 0: none, or it has ended.
    std::uint64_t age_ms = 0;  ///< Time since an answer said it.
    double held = 0;           ///< Share that the router uses.
};

/// Limits that a router reports: those that hold and those that ended lately.
std::map<std::string, limit_report> reports_of(
    const std::map<std::string, target_notice, std::less<>>& notices, boot_time now);

/// Applies the shares of a leader's reply to the call of `sent_at`.
void apply_shares(std::map<std::string, target_notice, std::less<>>& notices,
                  const std::map<std::string, double>& shares, boot_time sent_at);

/// The leader's view of one limit.
struct fleet_limit {
    std::uint64_t started_unix_ms = 0;
    double request_limit = 0;  ///< 0: it has ended.
    boot_time said_at;         ///< When the newest answer of the target said so.
};

/// Records what a router reports; newer answers replace older ones, also of other routers.
void record_report(std::map<std::string, fleet_limit>& limits, const std::string& target,
                   const limit_report& report, boot_time now);

/// A router that shares a limit.
struct limit_sharer {
    std::string host;
    double demand = 0;  ///< Requests per second.
    double held = 0;    ///< Largest share that it may still be using.
};

/// Divides a limit among the routers in proportion to their demand. Only as many routers get a
/// share as may send their first request at once. Shares that sink free room for others only when
/// the routers have received the lower ones, so that the sum never exceeds the limit.
/// `may_raise`: false while some routers may hold shares that are not known.
std::map<std::string, double> share_limit(double limit, std::span<const limit_sharer> sharers,
                                          bool may_raise);

}  // namespace mimosavalve::gateway
