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
    const std::chrono::duration<double> refill_time(1 / rate);
    const auto token_ticks = std::chrono::duration_cast<steady_time::duration>(refill_time).count();
    const auto capacity_ticks = std::max<steady_time::rep>(
        steady_time::duration(std::chrono::seconds(1)).count(), token_ticks);
    const auto now_ticks = now.time_since_epoch().count();
    auto full_at = limit.full_at.load(std::memory_order_relaxed);
    for (;;) {
        const auto next = std::max(full_at, now_ticks) + token_ticks;
        if (next - now_ticks > capacity_ticks) {
            return false;
        }
        if (limit.full_at.compare_exchange_weak(full_at, next, std::memory_order_relaxed)) {
            return true;
        }
    }
}

}  // namespace mimosavalve::traffic
