#include "mimosavalve/traffic/outlier_ejection.hpp"

#include <algorithm>
#include <vector>

namespace mimosavalve::traffic {

namespace detail {

constexpr double outlier_factor = 3;
// Weight of a new answer in the moving average.
constexpr double mean_weight = 0.1;
constexpr std::uint32_t min_samples = 20;
constexpr std::uint32_t min_samples_on_probation = 3;
constexpr std::uint32_t max_ejection_factor = 8;
// At most this part of the targets, 1/3, is ejected at a time.
constexpr std::size_t max_ejected_divisor = 3;
constexpr std::chrono::seconds base_ejection_time{1};

/// Median of the mean latencies of the targets that are not ejected; 0 without any.
double median_of(std::span<const target_latency* const> all, steady_time now) {
    std::vector<double> means;
    means.reserve(all.size());
    for (const auto* target : all) {
        if (target->samples > 0 && now >= target->ejected_until) {
            means.push_back(target->mean_ms);
        }
    }
    if (means.empty()) {
        return 0;
    }
    const auto middle = means.begin() + static_cast<std::ptrdiff_t>((means.size() - 1) / 2);
    std::nth_element(means.begin(), middle, means.end());
    return *middle;
}

bool can_eject_one_more(std::span<const target_latency* const> all, steady_time now) {
    const auto ejected = std::count_if(all.begin(), all.end(), [&](const target_latency* target) {
        return now < target->ejected_until;
    });
    return (static_cast<std::size_t>(ejected) + 1) * max_ejected_divisor <= all.size();
}

void eject(target_latency& target, steady_time now) {
    target.consecutive_ejections = std::min(target.consecutive_ejections + 1, max_ejection_factor);
    target.ejected_until = now + base_ejection_time * target.consecutive_ejections;
    target.is_on_probation = true;
    target.samples = 0;
    target.mean_ms = 0;
}

}  // namespace detail

void record_latency(target_latency& target, std::chrono::microseconds latency) {
    const auto value = std::chrono::duration<double, std::milli>(latency).count();
    target.mean_ms = target.samples == 0
                         ? value
                         : target.mean_ms + detail::mean_weight * (value - target.mean_ms);
    ++target.samples;
}

bool can_accept_request(target_latency& target, std::uint32_t in_flight, steady_time now) {
    if (now < target.ejected_until) {
        return false;
    }
    return !target.is_on_probation || in_flight == 0;
}

bool eject_if_outlier(target_latency& target, std::span<const target_latency* const> all,
                      steady_time now) {
    const auto required_samples =
        target.is_on_probation ? detail::min_samples_on_probation : detail::min_samples;
    if (target.samples < required_samples) {
        return false;
    }
    const bool is_slow = target.mean_ms > detail::outlier_factor * detail::median_of(all, now);
    if (is_slow && detail::can_eject_one_more(all, now)) {
        detail::eject(target, now);
        return true;
    }
    if (!is_slow) {
        target.is_on_probation = false;
        target.consecutive_ejections = 0;
    }
    return false;
}

}  // namespace mimosavalve::traffic
