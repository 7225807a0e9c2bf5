#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "mimosavalve/gateway/target_table.hpp"

namespace mimosavalve::gateway {

/// Work times of targets that the leader has announced. Each change has a number, so that what a
/// router lacks is found without comparing all targets for each router.
struct work_times {
    struct announced {
        double work_ms = 0;
        std::uint64_t number = 0;
    };
    std::uint64_t last_number = 0;
    std::map<std::string, announced, std::less<>> by_target;
    std::map<std::uint64_t, std::string>
        by_number;  ///< Targets by the number of their last change.
};

/// Announces the work times that have changed significantly, and forgets targets that are gone.
void announce_work(work_times& times, const routing_state& state);

/// Work times, in ms, that changed after the change with this number.
std::map<std::string, double> work_since(const work_times& times, std::uint64_t number);

}  // namespace mimosavalve::gateway
