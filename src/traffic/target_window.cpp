#include "mimosavalve/traffic/target_window.hpp"

#include <algorithm>

namespace mimosavalve::traffic {

namespace detail {

constexpr double decrease_on_refusal = 0.7;
constexpr double decrease_on_latency = 0.85;
// The recent average of a healthy target stays below twice its baseline.
constexpr double overload_latency_ratio = 2;
constexpr double recent_weight = 0.1;
constexpr double baseline_weight = 0.005;
// A burst of refusals is one signal and decreases the limit only once.
constexpr std::chrono::milliseconds min_decrease_interval{50};

void decrease(target_window& window, double factor, steady_time now) {
    if (now - window.last_decrease < min_decrease_interval) {
        return;
    }
    window.last_decrease = now;
    window.limit = std::max(window.min_limit, window.limit * factor);
}

}  // namespace detail

void set_bounds(target_window& window, std::uint32_t slots, std::uint32_t connections,
                std::uint32_t sharers) {
    const double thread_count = std::max<std::uint32_t>(1, sharers);
    window.min_limit = std::max(1.0, slots / thread_count);
    window.max_limit = std::max(window.min_limit, connections / thread_count);
    window.limit = std::clamp(window.limit, window.min_limit, window.max_limit);
}

bool has_room(const target_window& window, std::uint32_t in_flight) {
    return in_flight + 1 <= window.limit;
}

void record_success(target_window& window, std::chrono::microseconds latency, steady_time now) {
    const auto latency_ms = std::chrono::duration<double, std::milli>(latency).count();
    if (window.baseline_latency_ms == 0) {
        window.baseline_latency_ms = latency_ms;
        window.recent_latency_ms = latency_ms;
    }
    window.recent_latency_ms += detail::recent_weight * (latency_ms - window.recent_latency_ms);
    window.baseline_latency_ms +=
        detail::baseline_weight * (latency_ms - window.baseline_latency_ms);
    if (window.recent_latency_ms > detail::overload_latency_ratio * window.baseline_latency_ms) {
        detail::decrease(window, detail::decrease_on_latency, now);
    } else {
        window.limit = std::min(window.max_limit, window.limit + 1 / window.limit);
    }
}

void record_refusal(target_window& window, steady_time now) {
    detail::decrease(window, detail::decrease_on_refusal, now);
}

std::chrono::microseconds expected_wait(const target_window& window, std::size_t queued) {
    const auto turns = static_cast<double>(queued + 1) / std::max(1.0, window.limit);
    const std::chrono::duration<double, std::milli> wait(turns * window.recent_latency_ms);
    return std::chrono::duration_cast<std::chrono::microseconds>(wait);
}

}  // namespace mimosavalve::traffic
