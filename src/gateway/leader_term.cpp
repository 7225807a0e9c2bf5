#include "mimosavalve/gateway/leader_term.hpp"

#include <algorithm>
#include <vector>

namespace mimosavalve::gateway {

std::optional<boot_time> right_without_store(const router_runs& recorded,
                                             const evidence_by_host& heard) {
    std::vector<boot_time> confirmed;
    for (const auto& [host, known] : recorded) {
        const auto found = heard.find(host);
        if (found != heard.end() && found->second.run == known.run) {
            confirmed.push_back(std::min(found->second.follows, found->second.store_lost));
        }
    }
    const auto needed = recorded.size() / 2 + 1;
    if (recorded.empty() || confirmed.size() < needed) {
        return std::nullopt;
    }
    std::sort(confirmed.rbegin(), confirmed.rend());
    const auto oldest_needed = confirmed[needed - 1];
    if (oldest_needed == boot_time{}) {
        return std::nullopt;
    }
    return oldest_needed + confirmation_time;
}

bool may_hold_long(const router_runs& recorded, const evidence_by_host& heard) {
    std::size_t counted = 0;
    for (const auto& [host, known] : recorded) {
        const auto found = heard.find(host);
        counted += found != heard.end() && found->second.run == known.run &&
                           found->second.knows_long_holds != boot_time{}
                       ? 1
                       : 0;
    }
    return counted > recorded.size() / 2;
}

bool has_taken_over(const router_runs& recorded, const evidence_by_host& heard) {
    std::size_t counted = 0;
    for (const auto& [host, known] : recorded) {
        counted += heard.contains(host) ? 1 : 0;
    }
    return recorded.empty() || counted > recorded.size() / 2;
}

boot_time inherited_holds_end(const hold_times& holds, const evidence_by_host& heard,
                              boot_time now) {
    auto end = now + confirmation_time + holds.calm;
    for (const auto& [host, router] : heard) {
        if (router.told_long_holds) {
            end = std::max(end, *router.told_long_holds + confirmation_time + holds.longest);
        }
    }
    return end;
}

}  // namespace mimosavalve::gateway
