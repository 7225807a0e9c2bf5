#include "mimosavalve/gateway/clock.hpp"

#include <ctime>

namespace mimosavalve::gateway {

boot_time boot_clock::now() {
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return boot_time(std::chrono::seconds(reading.tv_sec) +
                     std::chrono::nanoseconds(reading.tv_nsec));
}

std::int64_t milliseconds_until(boot_time at, boot_time now) {
    return std::chrono::duration_cast<milliseconds>(at - now).count();
}

}  // namespace mimosavalve::gateway
