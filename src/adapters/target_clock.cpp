#include "mimosavalve/adapters/target_clock.hpp"

namespace mimosavalve::adapters {

namespace {

// At this age the margin costs a deadline 20 ms.
constexpr std::chrono::milliseconds longest_age{1000};

constexpr std::int64_t percent_kept = 98;

}  // namespace

std::uint64_t map_deadline(const clock_reading& reading, steady_time deadline) {
    if (deadline <= reading.arrived) {
        return reading.clock_ms;
    }
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - reading.arrived);
    return reading.clock_ms + static_cast<std::uint64_t>(left.count() * percent_kept / 100);
}

bool is_fresh(const clock_reading& reading, steady_time now) {
    return now - reading.arrived < longest_age;
}

}  // namespace mimosavalve::adapters
