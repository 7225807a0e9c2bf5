#include "mimosavalve/traffic/target_window.hpp"

#include <algorithm>

namespace mimosavalve::traffic {

namespace detail {

constexpr double refusal_factor = 0.7;
constexpr double latency_factor = 0.85;
// Twice the usual latency is more than the spread of a healthy target's mean.
constexpr double grown_latency = 2;
constexpr double fast_weight = 0.1;
constexpr double slow_weight = 0.005;
// One burst of refusals is one signal.
constexpr std::chrono::milliseconds decrease_interval{50};

void decrease(target_window& window, double factor, steady_time now) {
    if (now - window.last_decrease < decrease_interval) {
        return;
    }
    window.last_decrease = now;
    window.limit = std::max(window.min_limit, window.limit * factor);
}

}  // namespace detail

void set_bounds(target_window& window, std::uint32_t slots, std::uint32_t connections,
                std::uint32_t sharers) {
    const double count = std::max<std::uint32_t>(1, sharers);
    window.min_limit = std::max(1.0, slots / count);
    window.max_limit = std::max(window.min_limit, connections / count);
    window.limit = std::clamp(window.limit, window.min_limit, window.max_limit);
}

bool has_room(const target_window& window, std::uint32_t in_flight) {
    return in_flight + 1 <= window.limit;
}

void record_success(target_window& window, std::chrono::microseconds latency, steady_time now) {
    const auto value = std::chrono::duration<double, std::milli>(latency).count();
    if (window.baseline_latency_ms == 0) {
        window.baseline_latency_ms = value;
        window.recent_latency_ms = value;
    }
    window.recent_latency_ms += detail::fast_weight * (value - window.recent_latency_ms);
    window.baseline_latency_ms += detail::slow_weight * (value - window.baseline_latency_ms);
    if (window.recent_latency_ms > detail::grown_latency * window.baseline_latency_ms) {
        detail::decrease(window, detail::latency_factor, now);
    } else {
        window.limit = std::min(window.max_limit, window.limit + 1 / window.limit);
    }
}

void record_refusal(target_window& window, steady_time now) {
    detail::decrease(window, detail::refusal_factor, now);
}

std::chrono::microseconds expected_wait(const target_window& window, std::size_t queued) {
    const auto turns = static_cast<double>(queued + 1) / std::max(1.0, window.limit);
    const std::chrono::duration<double, std::milli> wait(turns * window.recent_latency_ms);
    return std::chrono::duration_cast<std::chrono::microseconds>(wait);
}

}  // namespace mimosavalve::traffic
