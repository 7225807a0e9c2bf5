#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "mimosavalve/core/types.hpp"
#include "mimosavalve/traffic/request_head.hpp"

namespace mimosavalve::traffic {

/// Bytes of a body that its fingerprint covers.
inline constexpr std::size_t fingerprint_body_bytes = 1024;

/// Hash of route, account, method, `head.id` and the first KB of the body, so that retries of a
/// request have its fingerprint.
std::uint64_t fingerprint_of(const request_head& head, std::string_view body_prefix);

/// Requests that were in flight when the connections to a target were lost.
struct target_loss {
    std::string target;
    steady_time lost_at;
    std::vector<std::uint64_t> fingerprints;  ///< Without duplicates; at most 64.
    /// Whether the target is known to have ended. An unconfirmed loss may be no more than a
    /// connection that the target closed.
    bool confirmed = false;
};

struct quarantined_request {
    std::uint64_t fingerprint = 0;
    steady_time until;
};

/// Finds requests that crash targets. A caller that retries such a request would crash one target
/// after the other, so the request is refused once several losses have only its fingerprint in
/// common.
struct quarantine {
    std::vector<target_loss> losses;  ///< Of the last 10 minutes, at most 32.
    std::vector<quarantined_request> quarantined;
};

/// Records that a request lost its connection before an answer. Requests lost at one target within
/// 200 ms belong to one loss.
void record_lost_connection(quarantine& state, std::string_view target, std::uint64_t fingerprint,
                            steady_time now);

/// Records that the target of a loss of the last 5 s could not be reached or has another instance.
void confirm_loss(quarantine& state, std::string_view target, steady_time now);

/// Removes the fingerprint from all losses, since its request was answered and so did not crash the
/// target.
void clear_suspect(quarantine& state, std::uint64_t fingerprint);

/// Fingerprints that are the only fingerprint which some two confirmed losses have in common.
std::vector<std::uint64_t> find_suspects(const quarantine& state, steady_time now);

/// Quarantines the suspects with at least `min_losses` confirmed losses (2 or more) for 10 minutes
/// and returns their fingerprints, without those that were quarantined before. To be called
/// several times a second.
std::vector<std::uint64_t> update_quarantine(quarantine& state, steady_time now,
                                             std::size_t min_losses = 2);

/// Quarantines a request for 10 minutes, as another process has found it to crash targets.
void add_to_quarantine(quarantine& state, std::uint64_t fingerprint, steady_time now);

bool is_quarantined(const quarantine& state, std::uint64_t fingerprint, steady_time now);

}  // namespace mimosavalve::traffic
