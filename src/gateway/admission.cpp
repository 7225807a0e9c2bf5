#include "mimosavalve/gateway/admission.hpp"

#include <algorithm>

namespace mimosavalve::gateway {

namespace detail {

// A refused caller is asked to retry within at most this fraction of its remaining time.
constexpr double max_retry_after_fraction = 1.0 / 3;
constexpr double min_retry_after_ms = 50;
constexpr double min_concurrency = 0.05;
// Fraction of the objective within which the answer must be expected. Waits are means: a request
// that is expected exactly at its objective is late half of the time.
constexpr double objective_fraction = 0.9;

}  // namespace detail

double expected_wait_ms(const wait_estimate& estimate) {
    return estimate.unavailable_ms + (estimate.requests_ahead + 1.0) * estimate.answer_ms /
                                         std::max(estimate.concurrency, detail::min_concurrency);
}

bool should_refuse(const wait_estimate& estimate, milliseconds objective_time_left) {
    return expected_wait_ms(estimate) + estimate.answer_ms >
           static_cast<double>(objective_time_left.count()) * detail::objective_fraction;
}

milliseconds retry_after(const wait_estimate& estimate, milliseconds caller_time_left,
                         double random) {
    const auto max_delay_ms =
        static_cast<double>(caller_time_left.count()) * detail::max_retry_after_fraction;
    const auto desired_delay_ms = expected_wait_ms(estimate) * (0.5 + random);
    return milliseconds(
        static_cast<std::int64_t>(std::max(std::min(desired_delay_ms, max_delay_ms),
                                           std::min(detail::min_retry_after_ms, max_delay_ms))));
}

}  // namespace mimosavalve::gateway
