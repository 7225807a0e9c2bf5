#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "mimosavalve/config/fleet_config.hpp"
#include "mimosavalve/control/idempotency_table.hpp"
#include "mimosavalve/control/timing.hpp"
#include "mimosavalve/core/types.hpp"
#include "mimosavalve/ownership/placement.hpp"
#include "mimosavalve/ports/host_list.hpp"
#include "mimosavalve/ports/peers.hpp"
#include "mimosavalve/ports/store.hpp"
#include "mimosavalve/ports/target_control.hpp"
#include "mimosavalve/router/routing_snapshot.hpp"

namespace mimosavalve::control {

/// Identity and parameters of this daemon. A restarted daemon must use a new instance number.
struct control_settings {
    instance_id self;
    std::string address;  ///< "ip:port" of its peer socket.
    std::string region;
    std::string failure_domain;
    timing intervals;
    std::uint64_t seed = 1;  ///< Seed of jitter and write nonces; must differ between instances.
};

/// External services that the control thread calls. No call may block.
struct control_ports {
    ports::store store;
    ports::host_list host_list;
    ports::target_control targets;
    ports::peers peers;
    std::function<steady_time()> now;        ///< Monotonic clock, read right before each effect.
    std::function<std::uint64_t()> unix_ms;  ///< Wall clock, only for idempotency keys.
};

/// A decision of the control plane that is recorded for operators.
struct event {
    std::string kind;     ///< For instance "grant", "move", "claim-epoch".
    std::string subject;  ///< Target, router or slots that the decision is about.
    std::string cause;
    std::optional<shard_id> shard;
    version state_version;
    std::uint64_t config_version = 0;
};

/// Effects on the rest of the daemon.
struct control_outputs {
    /// Hands a new snapshot to the traffic threads.
    std::function<void(std::shared_ptr<const router::routing_snapshot>)> publish;

    /// Returns the newest drained version of the shard. A version is drained at a router when all
    /// traffic threads have adopted it and had no stale request in flight under it (see
    /// traffic/in_flight.hpp). Without this function the held version counts as drained at once.
    std::function<version(const shard_id&)> drained;

    /// Records an event.
    std::function<void(event)> record;
};

/// Decodes the store's `config` value; returns nothing when it is not valid.
using config_decoder = std::function<std::optional<config::fleet_config>(std::string_view)>;

/// What the traffic threads have observed of a target since their last report. Stage of the
/// report: from the traffic threads to the control thread of the same router.
struct target_evidence {
    std::string target;
    std::uint32_t successes = 0;
    std::uint32_t consecutive_failures = 0;  ///< 0: the last attempt succeeded.
    /// Time at which the first request of the current series of failures was sent.
    steady_time failing_since;
    std::uint64_t instance = 0;  ///< 0: no answer has named it.
    std::uint64_t load = 0;
    bool cold = false;  ///< The target looks cold without a restart.
};

/// Requests of one key since the last report.
struct key_load {
    std::string service;
    std::string key;  ///< "account/id"
    std::uint64_t requests = 0;
};

/// A batch of evidence and load figures from the traffic threads.
struct traffic_report {
    std::vector<target_evidence> evidence;
    std::vector<ownership::slot_load> slots;
    std::vector<key_load> keys;
};

/// What this daemon has recorded of a router; used by the `wait` command.
struct router_status {
    instance_id id;
    std::string address;
    std::string region;
    steady_time last_received;  ///< Time of the last renewal request from the router.
    std::uint64_t config_version = 0;
};

namespace detail {
struct control_state;
}

/// The control thread of one daemon, in its roles as router, as voter and as leader of some shards
/// of its region.
///
/// Messages, ticks and callbacks of the ports drive it, all on one thread. It never blocks. Port
/// callbacks that arrive after its destruction have no effect.
class control_plane {
public:
    control_plane(control_settings settings, control_ports ports, control_outputs outputs,
                  config_decoder decode_config);
    ~control_plane();
    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;
    control_plane(control_plane&&) = delete;
    control_plane& operator=(control_plane&&) = delete;

    /// Handles a message from a peer. Unknown and malformed messages are ignored.
    void on_message(const wire::Envelope& message, steady_time now);

    /// Runs the periodic work. To be called about every 10 ms.
    void on_tick(steady_time now);

    void on_traffic_report(const traffic_report& report, steady_time now);

    /// Quarantines requests with these fingerprints on all routers.
    void add_quarantined(std::span<const std::uint64_t> fingerprints, steady_time now);

    /// Claims an idempotency key with the shard's leader. The status is `no_leader` when the leader
    /// has not answered by the deadline; the leader may then have recorded the claim, but the
    /// request was not sent to a target.
    /// The handler is called on this thread, possibly before this function returns.
    void claim(const shard_id& shard, std::string_view key, std::uint64_t first_attempt_unix_ms,
               steady_time deadline, std::function<void(claim_status)> handler);

    /// Starts a planned stop, which gives up all leaderships and leaves the voter sets.
    void start_shutdown(steady_time now);

    /// Whether the planned stop is complete: this daemon holds no leadership, is listed as no voter
    /// and has no unexpired confirmation as a voter.
    [[nodiscard]] bool can_exit(steady_time now) const;

    [[nodiscard]] std::shared_ptr<const router::routing_snapshot> snapshot() const;

    /// Whether this daemon may act as the leader of the shard at `now`.
    [[nodiscard]] bool is_acting_leader(const shard_id& shard, steady_time now) const;

    /// Returns the routers that have sent this daemon a renewal request within `peer_timeout`,
    /// itself included.
    [[nodiscard]] std::vector<router_status> routers() const;

private:
    std::unique_ptr<detail::control_state> state_;
};

}  // namespace mimosavalve::control
