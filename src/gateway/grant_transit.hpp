#pragma once

#include <optional>

#include "mimosavalve/gateway/clock.hpp"

namespace mimosavalve::gateway {

// When a grant arrives at its target at the latest, and when its hold therefore ends. A grant that
// was answered has arrived before its answer. One without an answer may still be in transit, also
// after its connection was reset: what the network has queued is delivered.

/// Longest transit of a grant in a network that has been shown to be sound.
inline constexpr milliseconds sound_transit_time{300};
/// Longest transit of a grant otherwise: the call's timeout of 0.8 s, and the time for which a
/// congested link may queue what has been written to it.
inline constexpr milliseconds congested_transit_time{2400};

/// What the answers to grants show about the network to one region.
struct transit_evidence {
    /// Last answer within `sound_transit_time`.
    std::optional<boot_time> fast_answer_at;
    /// Last answer that took longer, or that came from a target whose grants had timed out.
    std::optional<boot_time> slow_answer_at;
};

/// Records an answer to a grant. `after_timeout`: the target has let grants time out since its
/// last answer.
void record_answer(transit_evidence& evidence, boot_time sent_at, boot_time answered_at,
                   bool after_timeout);

/// Whether the network is known to be sound; false without evidence.
bool is_sound(const transit_evidence& evidence, boot_time now);

/// Longest transit of grants that are sent now.
milliseconds transit_bound(const transit_evidence& evidence, boot_time now);

/// Longest transit of an unanswered grant that was sent at `sent_at`, as far as it is known now.
/// Congestion that is noticed later counts for it as well.
milliseconds transit_bound(const transit_evidence& evidence, boot_time sent_at, boot_time now);

/// End of a hold that began at `began`, with the margin for the target's clock.
boot_time hold_end(boot_time began, milliseconds hold);
/// Longest hold that begins at `began` and ends before `end`, with the same margin.
milliseconds max_hold_until(boot_time began, boot_time end);

}  // namespace mimosavalve::gateway
