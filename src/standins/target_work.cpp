#include "mimosavalve/standins/target_work.hpp"

#include <algorithm>
#include <cmath>

namespace mimosavalve::standins {

work_model::work_model(const work_settings& work, const cold_settings& cold,
                       std::uint32_t warm_slots)
    : work_(work),
      cold_(cold),
      warm_slots_(warm_slots),
      cold_left_(cold.requests),
      random_(work.seed) {}

std::uint32_t work_model::slots() const {
    return is_cold() ? std::min(cold_.slots, warm_slots_) : warm_slots_;
}

double work_model::draw_ms() {
    if (work_.distribution == work_distribution::constant || work_.mean_ms <= 0) {
        return work_.mean_ms;
    }
    if (work_.distribution == work_distribution::exponential) {
        return std::exponential_distribution<double>(1 / work_.mean_ms)(random_);
    }
    // The mean of a lognormal distribution is exp(location + sigma^2 / 2).
    const auto location = std::log(work_.mean_ms) - work_.sigma * work_.sigma / 2;
    return std::lognormal_distribution<double>(location, work_.sigma)(random_);
}

std::chrono::nanoseconds work_model::next_time(std::uint32_t queued, double slow_factor) {
    auto time_ms = draw_ms() * slow_factor;
    if (is_cold()) {
        time_ms *= cold_.factor * std::pow(1 + cold_.collapse, queued);
    }
    // A collapsed target answers nobody in time; a longer time would only overflow the clock.
    constexpr double longest_ms = 600'000;
    const auto drawn = std::chrono::duration<double, std::milli>(std::min(time_ms, longest_ms));
    const auto time = std::chrono::duration_cast<std::chrono::nanoseconds>(drawn) + charged_;
    charged_ = std::chrono::nanoseconds(0);
    return time;
}

void work_model::served() {
    if (cold_left_ > 0) {
        --cold_left_;
    }
}

}  // namespace mimosavalve::standins
