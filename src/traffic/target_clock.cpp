#include "mimosavalve/traffic/target_clock.hpp"

#include <chrono>

namespace mimosavalve::traffic {

namespace detail {

// Clock rates that differ by 2% shift a deadline by 100 ms in 5 s, less than half of the start
// window of 250 ms.
constexpr std::chrono::seconds max_reading_age{5};
constexpr std::chrono::seconds max_reading_age_on_new_connection{1};
// 1/50, that is 2%.
constexpr int rate_margin_divisor = 50;

}  // namespace detail

bool is_usable(const clock_reading& reading, steady_time now) {
    return now - reading.received_at < detail::max_reading_age;
}

bool is_usable_on_new_connection(const clock_reading& reading, steady_time opened) {
    return opened - reading.received_at < detail::max_reading_age_on_new_connection;
}

std::optional<std::uint64_t> start_by_ms(const clock_reading& reading, steady_time deadline,
                                         steady_time now) {
    if (deadline <= now) {
        return std::nullopt;
    }
    const auto since_reading = deadline - reading.received_at;
    const auto margin = since_reading / detail::rate_margin_divisor;
    const auto offset =
        std::chrono::duration_cast<std::chrono::milliseconds>(since_reading - margin);
    return reading.clock_ms + static_cast<std::uint64_t>(offset.count());
}

}  // namespace mimosavalve::traffic
