#include "mimosavalve/control/loss_detector.hpp"

#include <algorithm>
#include <map>

namespace mimosavalve::control {

namespace detail {

struct domain_count {
    std::size_t all = 0;
    std::size_t lost = 0;
};

/// Whether more than half of the targets of each of two or more domains look lost. One domain may
/// be lost as a whole; two at once are more likely a fault of the observers.
bool is_multi_domain_loss(std::span<const ownership::target> targets,
                          const std::vector<std::string>& lost) {
    std::map<std::string, domain_count> domains;
    for (const auto& target : targets) {
        if (target.condition == ownership::target_condition::lost) {
            continue;
        }
        auto& domain = domains[target.failure_domain];
        ++domain.all;
        domain.lost += std::find(lost.begin(), lost.end(), target.id) != lost.end() ? 1U : 0U;
    }
    const auto lost_domains = std::count_if(domains.begin(), domains.end(), [](const auto& entry) {
        return entry.second.lost * 2 > entry.second.all;
    });
    return lost_domains >= 2;
}

const target_history* find_history(const loss_detector& detector, std::string_view target) {
    const auto found =
        std::find_if(detector.history.begin(), detector.history.end(),
                     [&](const target_history& entry) { return entry.target == target; });
    return found == detector.history.end() ? nullptr : &*found;
}

}  // namespace detail

void record_observation(loss_detector& detector, target_observation seen) {
    const auto known =
        std::find_if(detector.observations.begin(), detector.observations.end(),
                     [&](const target_observation& entry) {
                         return entry.target == seen.target && entry.router == seen.router;
                     });
    if (known == detector.observations.end()) {
        detector.observations.push_back(std::move(seen));
        return;
    }
    if (!seen.last_success) {
        seen.last_success = known->last_success;
    }
    *known = std::move(seen);
}

void discard_observations(loss_detector& detector, steady_time before) {
    std::erase_if(detector.observations,
                  [&](const target_observation& seen) { return seen.received < before; });
}

std::optional<steady_time> last_success(const loss_detector& detector, std::string_view target) {
    std::optional<steady_time> latest;
    for (const auto& seen : detector.observations) {
        if (seen.target == target && seen.last_success) {
            latest = std::max(latest.value_or(*seen.last_success), *seen.last_success);
        }
    }
    return latest;
}

bool has_loss_evidence(const loss_detector& detector, const ownership::target& target,
                       steady_time now, const timing& intervals) {
    const auto success = last_success(detector, target.id);
    std::size_t tried = 0;
    std::size_t failing = 0;
    bool has_outside_observer = false;
    for (const auto& seen : detector.observations) {
        if (seen.target != target.id) {
            continue;
        }
        ++tried;
        if (!seen.failing_since) {
            continue;
        }
        const auto since = std::max(*seen.failing_since, success.value_or(*seen.failing_since));
        if (now - since < intervals.min_failure_duration) {
            continue;
        }
        ++failing;
        has_outside_observer = has_outside_observer || seen.failure_domain != target.failure_domain;
    }
    return failing > 0 && ((failing >= 2 && has_outside_observer) || failing == tried);
}

std::vector<std::string> lost_targets(loss_detector& detector,
                                      std::span<const ownership::target> targets, steady_time now,
                                      const timing& intervals) {
    std::vector<std::string> lost;
    for (const auto& target : targets) {
        if (target.condition != ownership::target_condition::lost &&
            has_loss_evidence(detector, target, now, intervals)) {
            lost.push_back(target.id);
        }
    }
    if (!detail::is_multi_domain_loss(targets, lost)) {
        detector.multi_domain_loss_since.reset();
        return lost;
    }
    if (!detector.multi_domain_loss_since) {
        detector.multi_domain_loss_since = now;
    }
    if (now - *detector.multi_domain_loss_since < intervals.multi_domain_loss_delay) {
        lost.clear();
    }
    return lost;
}

void record_loss(loss_detector& detector, std::string_view target, steady_time now,
                 const timing& intervals) {
    auto known = std::find_if(detector.history.begin(), detector.history.end(),
                              [&](const target_history& entry) { return entry.target == target; });
    if (known == detector.history.end()) {
        known = detector.history.insert(known, {std::string(target), {}});
    }
    std::erase_if(known->losses,
                  [&](steady_time at) { return now - at > intervals.loss_count_window; });
    known->losses.push_back(now);
    std::erase_if(detector.observations,
                  [&](const target_observation& seen) { return seen.target == target; });
}

steady_time earliest_return(const loss_detector& detector, std::string_view target,
                            const timing& intervals) {
    const auto* history = detail::find_history(detector, target);
    if (history == nullptr || history->losses.size() < intervals.losses_before_return_delay) {
        return {};
    }
    return history->losses.back() + intervals.return_delay;
}

}  // namespace mimosavalve::control
