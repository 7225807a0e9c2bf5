#include "grant_transit.hpp"

namespace mimosavalve::gateway {

namespace detail {

// Owners get a grant every 0.6 s, so a sound network shows an answer at least this often.
constexpr milliseconds fast_answer_lifetime{1000};
// A congested link drains in bursts, so single fast answers prove nothing for this time.
constexpr milliseconds congestion_memory{10000};
// A target's clock may run 2% slow (see the platform's documentation of keys).
constexpr double clock_margin = 1.02;

bool was_congested(const transit_evidence& evidence, boot_time at) {
    return evidence.slow_answer_at && at - *evidence.slow_answer_at < congestion_memory;
}

}  // namespace detail

void record_answer(transit_evidence& evidence, boot_time sent_at, boot_time answered_at,
                   bool after_timeout) {
    const bool slow = after_timeout || answered_at - sent_at > sound_transit_time;
    (slow ? evidence.slow_answer_at : evidence.fast_answer_at) = answered_at;
}

bool is_sound(const transit_evidence& evidence, boot_time now) {
    return evidence.fast_answer_at &&
           now - *evidence.fast_answer_at <= detail::fast_answer_lifetime &&
           !detail::was_congested(evidence, now);
}

milliseconds transit_bound(const transit_evidence& evidence, boot_time now) {
    return is_sound(evidence, now) ? sound_transit_time : congested_transit_time;
}

milliseconds transit_bound(const transit_evidence& evidence, boot_time sent_at, boot_time now) {
    return detail::was_congested(evidence, sent_at) ? congested_transit_time
                                                    : transit_bound(evidence, now);
}

boot_time hold_end(boot_time began, milliseconds hold) {
    return began + std::chrono::duration_cast<boot_clock::duration>(hold * detail::clock_margin);
}

milliseconds max_hold_until(boot_time began, boot_time end) {
    return std::chrono::duration_cast<milliseconds>((end - began) / detail::clock_margin);
}

}  // namespace mimosavalve::gateway
