#include "work_times.hpp"

#include <cmath>

namespace mimosavalve::gateway {

namespace detail {

// Relative change of a work time below which it is not announced again.
constexpr double min_relative_work_change = 0.05;

}  // namespace detail

void announce_work(work_times& times, const routing_state& state) {
    std::erase_if(times.by_target, [&](const auto& known) {
        const bool is_gone = !state.targets.contains(known.first);
        if (is_gone) {
            times.by_number.erase(known.second.number);
        }
        return is_gone;
    });
    for (const auto& [id, target] : state.targets) {
        if (target->work_ms <= 0) {
            continue;
        }
        auto& known = times.by_target[id];
        if (std::abs(target->work_ms - known.work_ms) <=
            known.work_ms * detail::min_relative_work_change) {
            continue;
        }
        times.by_number.erase(known.number);
        known = {std::round(target->work_ms), ++times.last_number};
        times.by_number.emplace(known.number, id);
    }
}

std::map<std::string, double> work_since(const work_times& times, std::uint64_t number) {
    std::map<std::string, double> out;
    for (auto change = times.by_number.upper_bound(number); change != times.by_number.end();
         ++change) {
        out.emplace(change->second, times.by_target.find(change->second)->second.work_ms);
    }
    return out;
}

}  // namespace mimosavalve::gateway
