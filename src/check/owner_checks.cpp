#include <algorithm>
#include <set>

#include "mimosavalve/check/history_check.hpp"

namespace mimosavalve::check {

namespace detail {

struct owned_key {
    std::string service;
    std::string account;
    std::string id;
    auto operator<=>(const owned_key&) const = default;
};

struct owned_slot {
    std::string region;
    std::string service;
    ownership::slot_number slot = 0;
    auto operator<=>(const owned_slot&) const = default;
};

std::string place_of(const target_run& run) {
    return "request " + run.request_id + " on " + run.target + " from " +
           std::to_string(run.start_ns) + " to " + std::to_string(run.end_ns) + " ns, fence " +
           (run.fence ? to_string(*run.fence) : std::string("none"));
}

bool was_paused(const history& checked, const target_run& older, const target_run& newer) {
    return std::any_of(checked.pauses.begin(), checked.pauses.end(), [&](const auto& pause) {
        return pause.target == older.target && pause.instance == older.instance &&
               pause.from_ns >= older.start_ns && pause.from_ns <= newer.start_ns &&
               pause.until_ns <= older.end_ns && pause.until_ns >= newer.start_ns;
    });
}

}  // namespace detail

void check_owners(const history& checked, std::vector<violation>& found) {
    std::map<detail::owned_key, std::vector<const target_run*>> running;
    for (const auto& run : checked.runs) {
        if (!run.slot) {
            continue;
        }
        auto key = path_key_of(run.path);
        auto& others = running[{run.service, std::move(key.account), std::move(key.id)}];
        std::erase_if(others, [&](const auto* other) { return other->end_ns <= run.start_ns; });
        for (const auto* other : others) {
            if (other->target == run.target) {
                continue;
            }
            const bool paused = detail::was_paused(checked, *other, run);
            found.push_back(
                {paused ? violation_kind::overlap_across_pause : violation_kind::overlapping_owners,
                 run.service + " " + run.path + ": " + detail::place_of(*other) + ", and " +
                     detail::place_of(run)});
        }
        others.push_back(&run);
    }
}

void check_fences(const history& checked, std::vector<violation>& found) {
    std::map<detail::owned_slot, const target_run*> newest;
    for (const auto& run : checked.runs) {
        if (!run.slot || !run.fence) {
            continue;
        }
        const auto& region = checked.targets.at(run.target).region;
        auto& known = newest[{region, run.service, *run.slot}];
        if (known == nullptr || *known->fence <= *run.fence) {
            known = &run;
        } else if (known->target != run.target) {
            found.push_back({violation_kind::older_fence, region + " " + run.service + " slot " +
                                                              std::to_string(*run.slot) + ": " +
                                                              detail::place_of(run) + ", after " +
                                                              detail::place_of(*known)});
        }
    }
}

}  // namespace mimosavalve::check
