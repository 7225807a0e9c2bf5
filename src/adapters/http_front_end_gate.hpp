#pragma once

#include <memory>
#include <unordered_map>

#include "mimosavalve/adapters/target_pool.hpp"
#include "mimosavalve/traffic/admission_queue.hpp"
#include "mimosavalve/traffic/outlier_ejection.hpp"
#include "mimosavalve/traffic/slow_start.hpp"
#include "mimosavalve/traffic/target_window.hpp"

namespace mimosavalve::adapters::front_end {

struct exchange_watch;
class worker;

/// A request in the queue of a gate.
struct gate_waiter {
    traffic::waiting_request request;
    exchange_watch* watch = nullptr;
    bool granted = false;  ///< A place was taken in its name.
};

struct shard_freshness {
    shard_id shard;
    version since;
};

/// What one thread lets through to one target.
struct target_gate {
    pooled_target* target = nullptr;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    std::uint32_t sharers = 1;  ///< Threads over all routers.
    /// `fresh_since` of the target as each shard's leader recorded it: their versions differ.
    std::vector<shard_freshness> freshness;
    std::uint64_t instance = 0;  ///< As last seen; 0 before.
    traffic::target_window window;
    traffic::slow_start ramp;
    traffic::target_latency latency;
    traffic::admission_queue queue;
};

/// Gates of one thread. They stay in place.
struct gate_set {
    std::unordered_map<const pooled_target*, std::unique_ptr<target_gate>> gates;
};

/// Gate of a target under the newest state that `shard` holds of it. A target that became fresh
/// starts its ramp.
target_gate& gate_of(gate_set& set, pooled_target& target, const ownership::target& state,
                     const shard_id& shard, std::uint32_t sharers);

/// Takes a place when there is room; `random` is from 0 to 1.
bool try_enter(target_gate& gate, double random, steady_time now);

/// Gives free places to those who wait and wakes them.
void grant_places(target_gate& gate, double random, steady_time now);

/// Gives a place back at the end of an attempt, to the next one who waits if there is one.
class place_scope {
public:
    place_scope(worker& home, target_gate& gate) : home_(home), gate_(gate) {}
    ~place_scope();
    place_scope(const place_scope&) = delete;
    place_scope& operator=(const place_scope&) = delete;

private:
    worker& home_;
    target_gate& gate_;
};

}  // namespace mimosavalve::adapters::front_end
