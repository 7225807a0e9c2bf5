#include "mimosavalve/traffic/slow_start.hpp"

#include <algorithm>

namespace mimosavalve::traffic {

namespace detail {

constexpr std::chrono::milliseconds interval_length{20};
constexpr double latency_jump_factor = 3;
constexpr std::uint32_t min_jumps_of_cold_target = 5;
constexpr std::uint32_t min_refusals_of_cold_target = 3;
constexpr std::uint32_t successes_per_slot = 8;
// Relative step of the running median for each answer.
constexpr double median_step = 0.02;

/// Adds a latency to the running median; true when it is a jump above the median before.
bool update_median(slow_start& ramp, double latency_ms) {
    if (ramp.median_latency_ms == 0) {
        ramp.median_latency_ms = latency_ms;
        return false;
    }
    const bool is_jump = latency_ms > latency_jump_factor * ramp.median_latency_ms;
    ramp.median_latency_ms *=
        latency_ms > ramp.median_latency_ms ? 1 + median_step : 1 - median_step;
    return is_jump;
}

void update_cold_signs(slow_start& ramp, bool is_jump) {
    if (is_jump) {
        ++ramp.latency_jumps;
    } else {
        // Each normal answer takes back one jump and, when none is left, one refusal.
        ramp.latency_jumps -= std::min(ramp.latency_jumps, 1U);
        ramp.refusals -= std::min(ramp.refusals, ramp.latency_jumps == 0 ? 1U : 0U);
    }
}

bool looks_cold(const slow_start& ramp) {
    return ramp.latency_jumps >= min_jumps_of_cold_target &&
           ramp.refusals >= min_refusals_of_cold_target;
}

}  // namespace detail

std::uint32_t max_ramp_limit(std::uint32_t slots, std::uint32_t connections) {
    return std::min(std::max(1U, connections), 2 * std::max(1U, slots));
}

void restart_ramp(slow_start& ramp, std::uint32_t max_limit) {
    ramp.ramping = true;
    ramp.limit = 1;
    ramp.max_limit = std::max(1U, max_limit);
    ramp.successes = 0;
    ramp.latency_jumps = 0;
    ramp.refusals = 0;
    ramp.may_send_in_interval = false;
    ramp.interval_end = steady_time{};
}

bool can_start_request(slow_start& ramp, std::uint32_t in_flight, std::uint32_t sharers,
                       double random, steady_time now) {
    if (!ramp.ramping) {
        return true;
    }
    const double share = ramp.limit / std::max(1U, sharers);
    if (share >= 1) {
        return in_flight + 1 <= share;
    }
    if (now >= ramp.interval_end) {
        ramp.interval_end = now + detail::interval_length;
        ramp.may_send_in_interval = random < share;
    }
    return ramp.may_send_in_interval && in_flight == 0;
}

void record_success(slow_start& ramp, std::chrono::microseconds latency, std::uint32_t slots,
                    std::uint32_t max_limit, std::uint32_t sharers) {
    const auto latency_ms = std::chrono::duration<double, std::milli>(latency).count();
    const bool is_jump = detail::update_median(ramp, latency_ms);
    detail::update_cold_signs(ramp, is_jump);
    if (detail::looks_cold(ramp)) {
        restart_ramp(ramp, max_limit);
        return;
    }
    if (!ramp.ramping || is_jump) {
        return;
    }
    ++ramp.successes;
    const auto total_successes = std::uint64_t{ramp.successes} * std::max(1U, sharers);
    if (total_successes < std::uint64_t{std::max(1U, slots)} * detail::successes_per_slot) {
        return;
    }
    ramp.successes = 0;
    ramp.limit *= 2;
    ramp.ramping = ramp.limit < ramp.max_limit;
}

void record_refusal(slow_start& ramp) {
    ramp.refusals = std::min(ramp.refusals + 1, 2 * detail::min_refusals_of_cold_target);
}

}  // namespace mimosavalve::traffic
