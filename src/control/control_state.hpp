#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "control.pb.h"
#include "mimosavalve/control/control_plane.hpp"
#include "mimosavalve/control/in_force.hpp"
#include "mimosavalve/control/loss_detector.hpp"
#include "mimosavalve/control/serving_lease.hpp"
#include "mimosavalve/control/voter.hpp"

namespace mimosavalve::control::detail {

/// The lease on the store key `leaders/<region>/<n>`.
struct store_lease {
    std::uint64_t id = 0;  ///< 0: none.
    bool holds_key = false;
    steady_time until;  ///< On the own clock, counted from before the last renewal was sent.
    steady_time next_renewal;
    bool busy = false;  ///< A store operation of the lease is under way.
};

/// Watch of the leader key by a candidate.
struct leader_key_watch {
    bool busy = false;
    std::uint64_t revision = 0;
    steady_time next_try;
    std::optional<steady_time> absent_since;
};

/// Progress of one run of slots towards its recorded owner.
struct handover {
    ownership::assignment run;
    std::optional<steady_time> in_force_since;
    bool revoked = false;
    steady_time next_revoke;
    bool granted = false;
    std::uint64_t granted_instance = 0;
    steady_time next_grant;
};

/// A claim or another write of the shard state that is not decided yet.
struct state_write {
    std::shared_ptr<const ownership::shard_state> state;
    std::uint64_t lease = 0;  ///< Store lease under which it was sent.
    bool busy = false;        ///< A store operation is under way; else the value is read back.
    steady_time next_try;
    std::vector<std::string> lost_targets;
    std::vector<event> changes;  ///< Recorded once the write has taken effect.
};

/// Last instance of a target seen by a prober, on the leader.
struct seen_target {
    std::uint64_t instance = 0;
    steady_time own_success;  ///< Last answer to a probe of the leader itself.
    bool leaving = false;
    bool cold = false;
};

/// A router that the leader sends states to.
struct state_receiver {
    std::string address;
    version held;
    version drained;
    steady_time last_heard;
    steady_time last_sent;
    version last_sent_version;
    version last_sent_activated;
};

/// What exists only while this daemon holds the store key, or leads, a shard.
struct leadership {
    store_lease lease;
    leader_key_watch watch;
    bool reading_state = false;
    bool known_absent = false;  ///< The store had no state of the shard.
    steady_time next_read;
    std::optional<std::uint64_t> revision;  ///< Of the state in the store, as last read or written.
    std::optional<state_write> write;
    steady_time led_since;  ///< Adoption of the own claim.
    bool claimed = false;   ///< The held state was claimed under the lease that is held.
    in_force_progress progress;
    std::optional<steady_time> in_force_since;
    std::vector<handover> handovers;
    std::vector<ownership::slot_range> timed_only;  ///< No revocation shortcut for these slots.
    std::optional<steady_time> finished_since;
    std::map<instance_id, state_receiver> receivers;
    std::map<instance_id, steady_time> replaced;  ///< Dead voters, and the end of their promises.
    loss_detector losses;
    std::map<std::string, seen_target> seen;
    std::vector<ownership::slot_load> slot_load;
    bool rebalancing = false;
    steady_time next_rebalance;
    steady_time next_plan;
    idempotency_table claims;
};

/// What this daemon knows of one shard.
struct shard_entry {
    shard_id id;
    std::shared_ptr<const ownership::shard_state> state;  ///< Null: not known yet.
    version activated;  ///< Moves up to here are proved and granted.
    std::shared_ptr<router::lease_deadline> lease;
    std::vector<confirmation> confirmations;
    voter_record voter;
    steady_time adopted_at;  ///< When the held state was taken.
    version drained;
    steady_time next_fetch;
    steady_time next_accepted_report;
    steady_time next_drained_report;
    std::map<instance_id, steady_time> update_sent;  ///< Limits repeats to routers behind.
    std::optional<leadership> leader;                ///< Only for shards of the own region.
};

struct peer_router {
    std::string address;
    std::string region;
    std::string failure_domain;
    steady_time last_heard;
    std::uint64_t config_version = 0;
    bool stopping = false;
};

/// Own probes of and traffic to one target.
struct local_evidence {
    std::uint32_t successes = 0;
    std::uint32_t consecutive_failures = 0;
    std::optional<steady_time> failing_since;
    std::optional<steady_time> last_success;
    std::uint64_t instance = 0;
    std::uint64_t load = 0;
    bool cold = false;
    bool leaving = false;
    bool probing = false;
    steady_time next_probe;
};

struct sent_renewal {
    std::uint64_t number = 0;
    steady_time at;
};

struct pending_claim {
    std::uint64_t number = 0;
    steady_time deadline;
    std::function<void(claim_status)> handler;
};

/// All state of one control thread. The roles are free functions over it.
struct control_state {
    control_settings settings;
    control_ports ports;
    control_outputs outputs;
    config_decoder decode_config;

    std::mt19937_64 random;
    std::uint64_t next_number = 1;
    std::deque<wire::Envelope> to_self;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    std::shared_ptr<const config::fleet_config> config;
    std::string config_bytes;
    bool config_busy = false;
    std::uint64_t config_revision = 0;
    steady_time next_config_watch;
    steady_time next_config_fetch;

    std::vector<ports::listed_host> listed;
    bool host_list_busy = false;
    steady_time next_host_list;

    std::map<shard_id, shard_entry> shards;
    std::map<instance_id, peer_router> routers;
    std::map<std::string, local_evidence> evidence;
    std::vector<ownership::slot_load> slot_load;
    std::map<std::uint64_t, steady_time> quarantined;

    std::deque<sent_renewal> sent;
    steady_time next_heartbeat;
    std::vector<pending_claim> claims;

    bool stopping = false;
    std::optional<steady_time>
        resigning_since;                 ///< Hands leadership on: it stops or must not lead.
    std::uint32_t reported_routers = 1;  ///< Live routers as a voter counts them.
    bool snapshot_changed = true;
    std::shared_ptr<const router::routing_snapshot> snapshot;
};

inline steady_time now_of(const control_state& self) {
    return self.ports.now();
}

/// Sends to a peer; a message to the own address is handled after the current one.
void send(control_state& self, const std::string& address, wire::Envelope message);

void record(control_state& self, std::string kind, std::string subject, std::string cause,
            const shard_entry* entry = nullptr);

/// Handles what was sent to the own address. Called at the end of each input.
void settle(control_state& self);

/// Whether a process is listed as a voter of the state.
bool lists_voter(const ownership::shard_state& state, const instance_id& process);

/// Shards of the configuration get entries; unknown regions get none.
void create_entries(control_state& self);

/// Wraps a port callback: it does nothing once the control plane is gone, and messages that it
/// sends to itself are handled right after it.
template <typename Handler>
auto guarded(control_state& self, Handler handler) {
    return [&self, alive = std::weak_ptr<bool>(self.alive), handler](auto&&... results) {
        if (alive.expired()) {
            return;
        }
        handler(std::forward<decltype(results)>(results)...);
        settle(self);
    };
}

}  // namespace mimosavalve::control::detail
