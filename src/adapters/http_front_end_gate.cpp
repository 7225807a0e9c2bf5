#include "http_front_end_gate.hpp"

#include <algorithm>

#include "http_front_end_worker.hpp"

namespace mimosavalve::adapters::front_end {

namespace detail {

/// Whether the shard's leader has recorded anew that the target is fresh. A further shard that
/// lists a known target does not make it fresh.
bool became_fresh(target_gate& gate, const shard_id& shard, const version& since) {
    const auto known =
        std::find_if(gate.freshness.begin(), gate.freshness.end(),
                     [&](const shard_freshness& entry) { return entry.shard == shard; });
    if (known == gate.freshness.end()) {
        gate.freshness.push_back({shard, since});
        return gate.freshness.size() == 1 && since != version{};
    }
    const bool changed = known->since != since;
    known->since = since;
    return changed;
}

void apply_state(target_gate& gate, const ownership::target& state, const shard_id& shard,
                 std::uint32_t sharers) {
    const bool same_bounds = gate.slots == state.slots && gate.connections == state.connections &&
                             gate.sharers == sharers;
    if (!same_bounds) {
        gate.slots = state.slots;
        gate.connections = state.connections;
        gate.sharers = sharers;
        traffic::set_bounds(gate.window, state.slots, state.connections, sharers);
    }
    if (became_fresh(gate, shard, state.fresh_since)) {
        traffic::restart_ramp(gate.ramp, traffic::max_ramp_limit(state.slots, state.connections));
    }
}

bool has_room(target_gate& gate, double random, steady_time now) {
    const auto running = gate.target->running;
    return traffic::has_room(gate.window, running) &&
           traffic::can_start_request(gate.ramp, running, gate.sharers, random, now);
}

}  // namespace detail

target_gate& gate_of(gate_set& set, pooled_target& target, const ownership::target& state,
                     const shard_id& shard, std::uint32_t sharers) {
    auto& gate = set.gates[&target];
    if (gate == nullptr) {
        gate = std::make_unique<target_gate>();
        gate->target = &target;
        gate->sharers = 0;
    }
    detail::apply_state(*gate, state, shard, sharers);
    return *gate;
}

bool try_enter(target_gate& gate, double random, steady_time now) {
    // Those who wait go first.
    if (gate.queue.size > 0 || !detail::has_room(gate, random, now)) {
        return false;
    }
    ++gate.target->running;
    return true;
}

void grant_places(target_gate& gate, double random, steady_time now) {
    while (gate.queue.size > 0 && detail::has_room(gate, random, now)) {
        const auto* request = traffic::pop(gate.queue, now);
        if (request == nullptr) {
            return;
        }
        auto* next = static_cast<gate_waiter*>(request->user_data);
        ++gate.target->running;
        next->granted = true;
        next->watch->timer->cancel();
    }
}

place_scope::~place_scope() {
    --gate_.target->running;
    if (gate_.queue.size > 0) {
        grant_places(gate_, home_.chance(), std::chrono::steady_clock::now());
    }
}

}  // namespace mimosavalve::adapters::front_end
