#pragma once

#include <chrono>
#include <cstdint>

namespace mimosavalve::gateway {

/// Monotonic clock that also counts the time during which the host was suspended. Everything that
/// expires at another process (leases, holds of keys) is measured with it.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now();
};

using boot_time = boot_clock::time_point;
using std::chrono::milliseconds;

/// Milliseconds from `now` until `at`; negative if `at` has passed.
std::int64_t milliseconds_until(boot_time at, boot_time now);

}  // namespace mimosavalve::gateway
