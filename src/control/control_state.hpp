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
    std::uint64_t id = 0;  ///< 0: no lease.
    bool holds_key = false;
    /// End on this host's clock, counted from before the last renewal was sent.
    steady_time until;
    steady_time next_renewal;
    bool operation_pending = false;  ///< Whether a store operation of the lease is in flight.
};

/// The watch on the leader key while this daemon does not hold it.
struct leader_key_watch {
    bool operation_pending = false;
    std::uint64_t revision = 0;  ///< Last received revision of the key; 0: absent or unknown.
    steady_time next_try;
    std::optional<steady_time> absent_since;
};

/// Progress of one assignment of consecutive slots towards its recorded owner.
struct handover {
    ownership::assignment assignment;
    std::optional<steady_time> in_force_since;
    bool revoked = false;
    steady_time next_revoke;
    bool granted = false;
    std::uint64_t granted_instance = 0;
    steady_time next_grant;
};

/// A write of the shard state, such as the claim of an epoch, whose outcome is not known yet.
struct state_write {
    std::shared_ptr<const ownership::shard_state> state;
    std::uint64_t lease = 0;  ///< Store lease under which the write was sent.
    /// Whether a store operation is in flight; if not, the value is read back at `next_try`.
    bool operation_pending = false;
    steady_time next_try;
    std::vector<std::string> lost_targets;  ///< Targets that the state declares lost.
    std::vector<event> changes;             ///< Events to record once the write has taken effect.
};

/// What routers have last reported of a target that answers. Stage of the report: kept by the
/// leader, which plans the conditions and instances of targets from it.
struct reported_target {
    std::uint64_t instance = 0;
    steady_time own_success;  ///< When this leader's own router last reported a success.
    bool leaving = false;
    bool cold = false;  ///< Whether a router has reported since the last plan that it turned cold.
};

/// A router to which the leader sends states.
struct state_receiver {
    std::string address;
    version held;     ///< Newest version that it is known to hold.
    version drained;  ///< Newest version that it has reported as drained.
    steady_time last_received;
    steady_time last_sent;
    version last_sent_version;
    version last_sent_activated;
};

/// State of this daemon as the leader of a shard, or as a candidate for its leadership.
struct leadership {
    store_lease lease;
    leader_key_watch watch;
    bool reading_state = false;
    bool state_absent = false;  ///< Whether the last read found no state of the shard in the store.
    steady_time next_read;
    /// Revision of the state in the store, as last read or written.
    std::optional<std::uint64_t> revision;
    std::optional<state_write> write;
    steady_time leading_since;  ///< Time at which this daemon adopted the state with its own claim.
    bool claimed = false;  ///< Whether the held state was claimed under the current store lease.
    in_force_progress progress;
    std::optional<steady_time> in_force_since;
    std::vector<handover> handovers;
    /// Slots for which only waiting, not a revocation, proves that the previous owner has stopped:
    /// other targets than the recorded previous owner may still serve them.
    std::vector<ownership::slot_range> wait_only_slots;
    /// Time since which the previous owners of finished handovers wait to be cleared in the store.
    std::optional<steady_time> finished_since;
    std::map<instance_id, state_receiver> receivers;
    /// Voters whose host runs another instance now, with the end of their confirmations.
    std::map<instance_id, steady_time> replaced_voters;
    loss_detector losses;
    std::map<std::string, reported_target> reported_targets;
    std::vector<ownership::slot_load> slot_load;
    bool rebalancing = false;
    steady_time next_rebalance;
    steady_time next_plan;
    idempotency_table claims;
};

/// State of one shard at this daemon.
struct shard_entry {
    shard_id id;
    std::shared_ptr<const ownership::shard_state> state;  ///< Null: none received yet.
    /// Version up to which every previous owner is proved to have stopped and every new owner has
    /// accepted its grant.
    version activated;
    std::shared_ptr<router::lease_deadline> lease;
    std::vector<confirmation> confirmations;
    voter_record voter;
    steady_time adopted_at;  ///< Time at which the held state was adopted.
    version drained;         ///< Newest version drained here (see `control_outputs::drained`).
    steady_time next_fetch;
    steady_time next_accepted_report;
    steady_time next_drained_report;
    /// Limits how often the state is sent to a router that is behind.
    std::map<instance_id, steady_time> last_update_sent;
    std::optional<leadership> leader;  ///< Only for shards of this daemon's region.
};

/// A router that has sent this daemon a renewal request.
struct peer_router {
    std::string address;
    std::string region;
    std::string failure_domain;
    steady_time last_received;
    std::uint64_t config_version = 0;
    bool stopping = false;
};

/// Results of this router's own probes and requests to one target. Stage of the report: collected
/// by each router's control thread, and sent to the leader with renewals.
struct local_evidence {
    std::uint32_t successes = 0;
    std::uint32_t consecutive_failures = 0;
    std::optional<steady_time> failing_since;
    std::optional<steady_time> last_success;
    std::uint64_t instance = 0;
    std::uint64_t load = 0;
    bool cold = false;
    bool leaving = false;
    bool probing = false;  ///< Whether a probe is in flight.
    steady_time next_probe;
};

/// A renewal request whose reply may still arrive.
struct sent_renewal {
    std::uint64_t number = 0;
    steady_time sent_at;
};

/// A claim that was sent to the leader and is not answered yet.
struct pending_claim {
    std::uint64_t number = 0;
    steady_time deadline;
    std::function<void(claim_status)> handler;
};

/// All state of one control thread. The roles are free functions that operate on it.
struct control_state {
    control_settings settings;
    control_ports ports;
    control_outputs outputs;
    config_decoder decode_config;

    std::mt19937_64 random;
    std::uint64_t next_request_number = 1;
    std::deque<wire::Envelope> loopback_messages;  ///< Messages to the own address.
    /// Expires with the control plane, after which port callbacks have no effect.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    std::shared_ptr<const config::fleet_config> config;
    std::string config_bytes;
    bool config_watch_pending = false;
    std::uint64_t config_revision = 0;
    steady_time next_config_watch;
    steady_time next_config_fetch;

    std::vector<ports::listed_host> listed_hosts;  ///< The host list as last read.
    bool host_list_read_pending = false;
    steady_time next_host_list;

    std::map<shard_id, shard_entry> shards;
    std::map<instance_id, peer_router> routers;
    std::map<std::string, local_evidence> evidence;
    std::vector<ownership::slot_load> slot_load;
    std::map<std::uint64_t, steady_time> quarantined;  ///< Fingerprints with the end of quarantine.

    std::deque<sent_renewal> sent_renewals;
    steady_time next_heartbeat;
    std::vector<pending_claim> pending_claims;

    bool stopping = false;
    /// Time since which this daemon gives up leadership: it stops, or its failure domain is
    /// removed.
    std::optional<steady_time> resigning_since;
    /// Number of live routers that a voter last reported.
    std::uint32_t reported_live_routers = 1;
    bool snapshot_changed = true;
    std::shared_ptr<const router::routing_snapshot> snapshot;
};

inline steady_time now_of(const control_state& self) {
    return self.ports.now();
}

/// Sends a message to a peer. A message to the own address is queued and handled at the end of the
/// current input, which is one message, tick, call or port callback.
void send(control_state& self, const std::string& address, wire::Envelope message);

/// Records an event. With an entry, the event names its shard and the version of its state.
void record_event(control_state& self, std::string kind, std::string subject, std::string cause,
                  const shard_entry* entry = nullptr);

/// Handles the messages that were sent to the own address and publishes a changed snapshot. Called
/// at the end of each input.
void finish_input(control_state& self);

/// Whether the state lists the process as a voter.
bool has_voter(const ownership::shard_state& state, const instance_id& process);

/// Creates an entry for each shard of each region in the configuration.
void create_shard_entries(control_state& self);

/// Wraps a port callback so that it does nothing once the control plane is destroyed, and ends the
/// input after it.
template <typename Handler>
auto guarded(control_state& self, Handler handler) {
    return [&self, alive = std::weak_ptr<bool>(self.alive), handler](auto&&... results) {
        if (alive.expired()) {
            return;
        }
        handler(std::forward<decltype(results)>(results)...);
        finish_input(self);
    };
}

}  // namespace mimosavalve::control::detail
