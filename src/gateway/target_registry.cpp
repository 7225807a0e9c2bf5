#include "mimosavalve/gateway/target_registry.hpp"

#include <algorithm>

namespace mimosavalve::gateway {

bool is_same_for_routing(const target_entry& left, const target_entry& right) {
    return left.id == right.id && left.service == right.service && left.address == right.address &&
           left.failure_domain == right.failure_domain && left.slots == right.slots &&
           left.leaving == right.leaving &&
           (left.remaining_cold_ms > 0) == (right.remaining_cold_ms > 0) &&
           left.started_unix_ms == right.started_unix_ms;
}

void record_registry_outage(registry_outage& outage, boot_time now) {
    outage.keep_missing_until = now + entry_rewrite_time;
}

registry_state merge_snapshot(const registry_state& state, const registry_snapshot& snapshot,
                              const registry_outage& outage, boot_time now) {
    if (snapshot.revision < state.revision) {
        return state;
    }
    registry_state next;
    next.revision = snapshot.revision;
    next.evacuated_domains = snapshot.evacuated_domains;
    for (const auto& entry : snapshot.targets) {
        next.targets.insert_or_assign(entry.id, entry);
    }
    for (const auto& [id, entry] : state.targets) {
        if (next.targets.contains(id)) {
            continue;
        }
        if (now < outage.keep_missing_until) {
            next.targets.emplace(id, entry);
        }
    }
    return next;
}

bool differs_for_routing(const registry_state& left, const registry_state& right) {
    return left.evacuated_domains != right.evacuated_domains ||
           !std::equal(left.targets.begin(), left.targets.end(), right.targets.begin(),
                       right.targets.end(), [](const auto& one, const auto& other) {
                           return is_same_for_routing(one.second, other.second);
                       });
}

}  // namespace mimosavalve::gateway
