#include "mimosavalve/traffic/slow_start.hpp"

#include <algorithm>

namespace mimosavalve::traffic {

namespace detail {

constexpr std::chrono::milliseconds turn_length{20};
constexpr double jump_factor = 3;
constexpr std::uint32_t jumps_of_cold_target = 5;
constexpr std::uint32_t refusals_of_cold_target = 3;
constexpr std::uint32_t successes_per_slot = 8;
// Step of the running median, as a part of it.
constexpr double median_step = 0.02;

/// Returns whether the latency is a jump.
bool update_median(slow_start& ramp, double value) {
    if (ramp.median_ms == 0) {
        ramp.median_ms = value;
        return false;
    }
    const bool jump = value > jump_factor * ramp.median_ms;
    ramp.median_ms *= value > ramp.median_ms ? 1 + median_step : 1 - median_step;
    return jump;
}

void count_signs(slow_start& ramp, bool jump) {
    if (jump) {
        ++ramp.jumps;
    } else {
        ramp.jumps -= std::min(ramp.jumps, 1U);
        ramp.refusals -= std::min(ramp.refusals, ramp.jumps == 0 ? 1U : 0U);
    }
}

bool looks_cold(const slow_start& ramp) {
    return ramp.jumps >= jumps_of_cold_target && ramp.refusals >= refusals_of_cold_target;
}

}  // namespace detail

std::uint32_t ramp_end(std::uint32_t slots, std::uint32_t connections) {
    return std::min(std::max(1U, connections), 2 * std::max(1U, slots));
}

void restart(slow_start& ramp, std::uint32_t end) {
    ramp.ramping = true;
    ramp.allowance = 1;
    ramp.largest = std::max(1U, end);
    ramp.successes = 0;
    ramp.jumps = 0;
    ramp.refusals = 0;
    ramp.has_turn = false;
    ramp.turn_end = steady_time{};
}

bool may_start(slow_start& ramp, std::uint32_t running, std::uint32_t sharers, double random,
               steady_time now) {
    if (!ramp.ramping) {
        return true;
    }
    const double share = ramp.allowance / std::max(1U, sharers);
    if (share >= 1) {
        return running + 1 <= share;
    }
    if (now >= ramp.turn_end) {
        ramp.turn_end = now + detail::turn_length;
        ramp.has_turn = random < share;
    }
    return ramp.has_turn && running == 0;
}

void record_success(slow_start& ramp, std::chrono::microseconds latency, std::uint32_t slots,
                    std::uint32_t end, std::uint32_t sharers) {
    const auto value = std::chrono::duration<double, std::milli>(latency).count();
    const bool jump = detail::update_median(ramp, value);
    detail::count_signs(ramp, jump);
    if (detail::looks_cold(ramp)) {
        restart(ramp, end);
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
    ramp.allowance *= 2;
    ramp.ramping = ramp.allowance < ramp.largest;
}

void record_refusal(slow_start& ramp) {
    ramp.refusals = std::min(ramp.refusals + 1, 2 * detail::refusals_of_cold_target);
}

}  // namespace mimosavalve::traffic
