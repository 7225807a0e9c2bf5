#include "mimosavalve/traffic/account_limit.hpp"

#include <algorithm>
#include <chrono>

namespace mimosavalve::traffic {

bool try_acquire_token(account_limit& limit, double requests_per_second, std::uint32_t live_routers,
                       steady_time now) {
    if (requests_per_second <= 0) {
        return true;
    }
    const double rate = requests_per_second / std::max(1U, live_routers);
    const std::chrono::duration<double> interval(1 / rate);
    const auto step = std::chrono::duration_cast<steady_time::duration>(interval).count();
    const auto burst =
        std::max<steady_time::rep>(steady_time::duration(std::chrono::seconds(1)).count(), step);
    const auto current = now.time_since_epoch().count();
    auto refilled = limit.full_at.load(std::memory_order_relaxed);
    for (;;) {
        const auto next = std::max(refilled, current) + step;
        if (next - current > burst) {
            return false;
        }
        if (limit.full_at.compare_exchange_weak(refilled, next, std::memory_order_relaxed)) {
            return true;
        }
    }
}

}  // namespace mimosavalve::traffic
