#include "mimosavalve/gateway/state_update.hpp"

#include <algorithm>

namespace mimosavalve::gateway {

key_map_update whole_update(const key_map& map) {
    return {true, map.segments};
}

key_map_update difference(const key_map& before, const key_map& after) {
    key_map_update update;
    auto previous = before.segments.begin();
    for (const auto& segment : after.segments) {
        while (previous != before.segments.end() && previous->first < segment.first) {
            ++previous;
        }
        if (previous == before.segments.end() || *previous != segment) {
            update.segments.push_back(segment);
        }
    }
    return update;
}

void apply(key_map& map, const key_map_update& update, milliseconds elapsed) {
    if (update.whole) {
        map.segments = update.segments;
        return;
    }
    const auto age = static_cast<std::uint32_t>(std::max<std::int64_t>(elapsed.count(), 0));
    for (auto& segment : map.segments) {
        segment.wait_ms -= std::min(segment.wait_ms, age);
    }
    for (const auto& segment : update.segments) {
        assign(map, segment);
    }
}

registry_update whole_update(const registry_state& state) {
    registry_update update;
    update.whole = true;
    update.revision = state.revision;
    for (const auto& [id, entry] : state.targets) {
        update.entries.push_back(entry);
    }
    update.gone = state.gone;
    return update;
}

registry_update difference(const registry_state& before, const registry_state& after) {
    registry_update update;
    update.revision = after.revision;
    for (const auto& [id, entry] : after.targets) {
        const auto previous = before.targets.find(id);
        if (previous == before.targets.end() || !is_same_for_routing(previous->second, entry)) {
            update.entries.push_back(entry);
        }
    }
    for (const auto& [id, entry] : before.targets) {
        if (!after.targets.contains(id)) {
            update.removed.push_back(id);
        }
    }
    for (const auto& [id, target] : after.gone) {
        const auto previous = before.gone.find(id);
        if (previous == before.gone.end() || previous->second.sequence != target.sequence ||
            previous->second.started_unix_ms != target.started_unix_ms) {
            update.gone.emplace(id, target);
        }
    }
    return update;
}

registry_state applied(const registry_state& state, const registry_update& update) {
    registry_state next = state;
    if (update.whole) {
        next.targets.clear();
    }
    next.revision = update.revision;
    for (const auto& entry : update.entries) {
        next.targets.insert_or_assign(entry.id, entry);
    }
    for (const auto& id : update.removed) {
        next.targets.erase(id);
    }
    for (const auto& [id, target] : update.gone) {
        next.gone.insert_or_assign(id, target);
    }
    return next;
}

}  // namespace mimosavalve::gateway
