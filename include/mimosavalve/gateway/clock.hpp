#pragma once

#include <chrono>
#include <cstdint>

namespace mimosavalve::gateway {

/// Monotonic clock that also counts the time in which the host was suspended. Whatever another
/// process may stop honouring after a while (leases, holds of keys) is measured with it.
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

/// Milliseconds from now until `at`; negative when it has passed.
std::int64_t milliseconds_until(boot_time at, boot_time now);

}  // namespace mimosavalve::gateway
