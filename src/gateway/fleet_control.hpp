#pragma once

#include <string>

#include "key_decider.hpp"
#include "leader_election.hpp"
#include "leader_lease.hpp"
#include "operator_items.hpp"
#include "registry_reader.hpp"
#include "sync_client.hpp"
#include "sync_server.hpp"

namespace mimosavalve::gateway {

/// Keeps this router's configuration, targets and owners of keys up to date, and takes part in the
/// election of the leader. Only the leader reads the registry and assigns keys; the other routers
/// follow it over the internal port, and read the store themselves when the leader does not answer.
class fleet_control {
public:
    fleet_control(router_core& core, call_client& calls);

    void start();
    /// Ends this router's leadership at once, so that a successor can be elected, and stops
    /// following.
    void stop();

    /// A handler has ended midway, perhaps one of this leader's: gives the leadership up, since the
    /// successor begins with what the store holds.
    void on_failed_handler();

    /// Serve calls of other routers: a follower's report, and the announcement of a new leader.
    void serve_sync(const std::string& body, internal_server::respond respond);
    void serve_announcement(const std::string& body, const internal_server::respond& respond);
    /// Serves a router's call for the changes of the configuration since its own.
    void serve_config(const std::string& body, const internal_server::respond& respond);

    /// Whether this router has a configuration, targets and owners of keys to serve with, and its
    /// event loop is not late for long.
    [[nodiscard]] bool is_ready() const;

private:
    void tick();
    void watch_loop();
    /// Whether this router has to read the registry itself.
    [[nodiscard]] bool must_read_registry(boot_time now) const;
    /// Whether this router has to read the operators' items itself.
    [[nodiscard]] bool must_read_operators(boot_time now) const;
    void record_announced_config(const sync_reply& reply, boot_time now);
    /// Gets the changes of the configuration from another router.
    void fetch_config(const std::string& address);
    void lead(boot_time now);
    /// Names a successor if another host should lead, and ends the lease once it has called.
    void transfer_leadership(boot_time now);
    void begin_term();
    void continue_term();
    void end_term();
    void apply_reply(const sync_reply& reply);
    void read_key_records(boot_time now);
    void state_changed();

    router_core& core_;
    call_client& calls_;
    fleet_state fleet_;
    key_decider decider_;
    sync_server server_;
    sync_client client_;
    registry_reader registry_;
    operator_items operators_;
    leader_election election_;
    leader_lease lease_;
    boot_time next_records_;
    boot_time successor_named_at_;
    readiness readiness_;
    std::uint64_t dispatchers_epoch_ = 0;  ///< Of the leader that named the known dispatchers.
    std::uint64_t known_epoch_ = 0;        ///< Epoch of the leader at the last tick.
    boot_time leader_known_at_;            ///< When a leader of this epoch became known.
    /// Since when the leader's replies name a newer configuration than this router has.
    std::optional<boot_time> config_behind_since_;
    bool is_fetching_config_ = false;
    double read_turn_ = 0;  ///< Random, from 0 to 1: when this router reads among all routers.
    lifetime life_;
};

}  // namespace mimosavalve::gateway
