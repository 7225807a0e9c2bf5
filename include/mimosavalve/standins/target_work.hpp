#pragma once

#include <chrono>
#include <cstdint>
#include <random>

#include "mimosavalve/standins/target_settings.hpp"

namespace mimosavalve::standins {

/// Simulated cost of requests and the cold phase of a target.
class work_model {
public:
    work_model(const work_settings& work, const cold_settings& cold, std::uint32_t warm_slots);

    /// Requests that may run at a time now.
    [[nodiscard]] std::uint32_t slots() const;
    [[nodiscard]] bool is_cold() const { return cold_left_ > 0; }
    void turn_cold() { cold_left_ = cold_.requests; }

    /// Draws the time of the next request. `queued` requests wait for a slot at this moment.
    std::chrono::nanoseconds next_time(std::uint32_t queued, double slow_factor);
    /// Counts a served request towards the end of the cold phase.
    void served();
    /// Adds the cost of a probe to the next request, so that probes use capacity without a queue.
    void charge(std::chrono::nanoseconds cost) { charged_ += cost; }

private:
    double draw_ms();

    work_settings work_;
    cold_settings cold_;
    std::uint32_t warm_slots_;
    std::uint32_t cold_left_;
    std::mt19937_64 random_;
    std::chrono::nanoseconds charged_{0};
};

}  // namespace mimosavalve::standins
