#include "mimosavalve/traffic/slow_start.hpp"

#include <algorithm>

namespace mimosavalve::traffic {

namespace detail {

constexpr std::chrono::milliseconds turn_length{20};
constexpr double jump_factor = 3;
constexpr std::uint32_t jumps_of_cold_target = 5;
constexpr std::uint32_t refusals_of_cold_target = 3;
constexpr std::uint32_t successes_per_slot = 8;
// Step of the in_flight median, as a part of it.
constexpr double median_step = 0.02;

/// Returns whether the latency is a jump.
bool update_median(slow_start& ramp, double value) {
    if (ramp.median_latency_ms == 0) {
        ramp.median_latency_ms = value;
        return false;
    }
    const bool jump = value > jump_factor * ramp.median_latency_ms;
    ramp.median_latency_ms *= value > ramp.median_latency_ms ? 1 + median_step : 1 - median_step;
    return jump;
}

void count_signs(slow_start& ramp, bool jump) {
    if (jump) {
        ++ramp.latency_jumps;
    } else {
        ramp.latency_jumps -= std::min(ramp.latency_jumps, 1U);
        ramp.refusals -= std::min(ramp.refusals, ramp.latency_jumps == 0 ? 1U : 0U);
    }
}

bool looks_cold(const slow_start& ramp) {
    return ramp.latency_jumps >= jumps_of_cold_target && ramp.refusals >= refusals_of_cold_target;
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
    ramp.has_turn = false;
    ramp.turn_end = steady_time{};
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
    if (now >= ramp.turn_end) {
        ramp.turn_end = now + detail::turn_length;
        ramp.has_turn = random < share;
    }
    return ramp.has_turn && in_flight == 0;
}

void record_success(slow_start& ramp, std::chrono::microseconds latency, std::uint32_t slots,
                    std::uint32_t max_limit, std::uint32_t sharers) {
    const auto value = std::chrono::duration<double, std::milli>(latency).count();
    const bool jump = detail::update_median(ramp, value);
    detail::count_signs(ramp, jump);
    if (detail::looks_cold(ramp)) {
        restart_ramp(ramp, max_limit);
        return;
    }
    if (!ramp.ramping || jump) {
        return;
    }
    ++ramp.successes;
    const auto over_all = std::uint64_t{ramp.successes} * std::max(1U, sharers);
    if (over_all < std::uint64_t{std::max(1U, slots)} * detail::successes_per_slot) {
        return;
    }
    ramp.successes = 0;
    ramp.limit *= 2;
    ramp.ramping = ramp.limit < ramp.max_limit;
}

void record_refusal(slow_start& ramp) {
    ramp.refusals = std::min(ramp.refusals + 1, 2 * detail::refusals_of_cold_target);
}

}  // namespace mimosavalve::traffic
