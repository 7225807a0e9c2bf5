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

/// Who this daemon is. A restarted daemon must use a new instance number.
struct control_settings {
    instance_id self;
    std::string address;  ///< "ip:port" of its peer socket.
    std::string region;
    std::string failure_domain;
    timing intervals;
    std::uint64_t seed = 1;  ///< Of jitter and write nonces; must differ between instances.
};

/// Everything outside that the control thread uses. No call may block.
struct control_ports {
    ports::store store;
    ports::host_list host_list;
    ports::target_control targets;
    ports::peers peers;
    std::function<steady_time()> now;        ///< Monotonic clock, read right before each effect.
    std::function<std::uint64_t()> unix_ms;  ///< Wall clock, only for idempotency keys.
};

/// A decision worth explaining later.
struct event {
    std::string kind;     ///< For instance "grant", "move", "claim-epoch".
    std::string subject;  ///< Target, router or slots concerned.
    std::string cause;
    std::optional<shard_id> shard;
    version at;
    std::uint64_t config_version = 0;
};

/// Effects on the rest of the daemon.
struct control_outputs {
    /// A new snapshot for the traffic threads.
    std::function<void(std::shared_ptr<const router::routing_snapshot>)> publish;

    /// Newest version of the shard with which no request or relayed order in flight conflicts.
    /// Without this function the held version is taken as drained at once.
    std::function<version(const shard_id&)> drained;

    std::function<void(event)> record;
};

/// Decodes the store's `config` value; nothing when it is not valid.
using config_decoder = std::function<std::optional<config::fleet_config>(std::string_view)>;

/// What the traffic threads saw of a target since their last report.
struct target_evidence {
    std::string target;
    std::uint32_t successes = 0;
    std::uint32_t consecutive_failures = 0;  ///< 0: the last contact was a success.
    steady_time failing_since;               ///< Sending time of the first failure in a row.
    std::uint64_t instance = 0;              ///< 0: not seen.
    std::uint64_t load = 0;
    bool cold = false;  ///< It turned cold without a new instance.
};

struct key_load {
    std::string service;
    std::string key;  ///< "account/id"
    std::uint64_t requests = 0;
};

/// Evidence and load from the traffic threads, in batches.
struct traffic_report {
    std::vector<target_evidence> evidence;
    std::vector<ownership::slot_load> slots;
    std::vector<key_load> keys;
};

/// A router as this daemon knows it, for the `wait` command.
struct router_status {
    instance_id id;
    std::string address;
    std::string region;
    steady_time last_heard;
    std::uint64_t config_version = 0;
};

namespace detail {
struct control_state;
}

/// The control thread of one daemon: router, voter, and leader of some shards of its region.
///
/// It is driven by messages, ticks and the callbacks of its ports, all on one thread, and never
/// blocks. Port callbacks that arrive after its destruction have no effect.
class control_plane {
public:
    control_plane(control_settings settings, control_ports ports, control_outputs outputs,
                  config_decoder decode_config);
    ~control_plane();
    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;
    control_plane(control_plane&&) = delete;
    control_plane& operator=(control_plane&&) = delete;

    /// A message of a peer. Unknown and malformed ones are ignored.
    void on_message(const wire::Envelope& message, steady_time now);

    /// To be called about every 10 ms.
    void on_tick(steady_time now);

    void on_traffic_report(const traffic_report& report, steady_time now);

    /// Holds requests with these fingerprints back on all routers.
    void add_quarantined(std::span<const std::uint64_t> fingerprints, steady_time now);

    /// Claims an idempotency key with the shard's leader. The answer is `no_leader` when the leader
    /// did not answer by the deadline; the key may then be claimed, but nothing was sent.
    /// The handler is called on this thread, possibly inside the call.
    void claim(const shard_id& shard, std::string_view key, std::uint64_t first_attempt_unix_ms,
               steady_time deadline, std::function<void(claim_status)> handler);

    /// Starts a planned stop: hands leadership on and leaves the voter sets.
    void start_stop(steady_time now);

    /// The planned stop has finished: no leadership is held and no promise as a voter is open.
    [[nodiscard]] bool may_exit(steady_time now) const;

    [[nodiscard]] std::shared_ptr<const router::routing_snapshot> snapshot() const;

    /// Whether this daemon may act as the leader of the shard at `now`.
    [[nodiscard]] bool leads(const shard_id& shard, steady_time now) const;

    /// Routers that renewed with this daemon lately, itself included.
    [[nodiscard]] std::vector<router_status> routers() const;

private:
    std::unique_ptr<detail::control_state> state_;
};

}  // namespace mimosavalve::control
