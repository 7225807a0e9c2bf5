#include "mimosavalve/gateway/admission.hpp"

#include <algorithm>

namespace mimosavalve::gateway {

namespace detail {

// Callers wait at most a third of the time they have left before they come back.
constexpr double waited_part = 1.0 / 3;
constexpr double shortest_return_ms = 50;
constexpr double least_places = 0.05;
// Waits are means: a request that is expected right at its objective is late half of the time.
constexpr double aimed_part = 0.9;

}  // namespace detail

double expected_wait_ms(const wait_estimate& estimate) {
    return estimate.unavailable_ms + (estimate.requests_ahead + 1.0) * estimate.answer_ms /
                                         std::max(estimate.concurrency, detail::least_places);
}

bool should_refuse(const wait_estimate& estimate, milliseconds objective_left) {
    return expected_wait_ms(estimate) + estimate.answer_ms >
           static_cast<double>(objective_left.count()) * detail::aimed_part;
}

milliseconds retry_after(const wait_estimate& estimate, milliseconds caller_left, double random) {
    const auto longest = static_cast<double>(caller_left.count()) * detail::waited_part;
    const auto wanted = expected_wait_ms(estimate) * (0.5 + random);
    return milliseconds(static_cast<std::int64_t>(
        std::max(std::min(wanted, longest), std::min(detail::shortest_return_ms, longest))));
}

}  // namespace mimosavalve::gateway
