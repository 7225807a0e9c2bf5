#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "fleet_state.hpp"
#include "internal_server.hpp"
#include "lifetime.hpp"
#include "mimosavalve/gateway/config_distribution.hpp"
#include "mimosavalve/gateway/config_update.hpp"
#include "mimosavalve/gateway/leader_term.hpp"
#include "mimosavalve/gateway/quota_plan.hpp"
#include "work_times.hpp"

namespace mimosavalve::gateway {

/// The leader's side of the sync calls: replies to each router as soon as state has changed,
/// collects the routers' reports, and allocates concurrency and rate quotas to them.
class sync_server {
public:
    struct sources {
        std::function<void(const std::map<std::string, key_load>&)> add_key_loads;
        /// Adds the state of the other parts of the control side.
        std::function<void(sync_reply&)> fill_reply;
        std::function<config_update(std::uint64_t version)> config_since;
        std::function<bool()> announces_long_holds;
        /// Gets the configuration from a router that has a newer one.
        std::function<void(const std::string& address)> fetch_config = nullptr;
        /// Number of routers in the leader's record; nothing while it is not known.
        std::function<std::optional<std::uint32_t>()> recorded_routers = nullptr;
    };

    sync_server(router_core& core, fleet_state& fleet, sources from);

    /// Begins a term of this router as leader.
    void begin();
    /// Continues the term under a new epoch. Routers count as followers again once they have called
    /// with it.
    void continue_term();
    /// Ends the term; refuses the calls that wait for a reply.
    void end();
    void tick(boot_time now);

    void serve(const std::string& body, internal_server::respond respond);
    void on_registry_change() { registries_.add(core_.state.registry); }
    /// Must be called after a change of state that routers follow.
    void on_state_change();

    [[nodiscard]] evidence_by_host evidence(boot_time now) const;
    /// Router instances that have called recently.
    [[nodiscard]] router_instances recent_followers(boot_time now) const;

private:
    struct follower {
        router_evidence evidence;
        boot_time replied_at;  ///< When the leader last replied to the router.
        /// Size of that reply until the router has called again.
        std::size_t bytes_in_transit = 0;
        std::string address;
        std::string failure_domain;
        std::string region;
        boot_time called_at;               ///< When the router last called.
        boot_time following_since;         ///< When this instance of it first called.
        std::uint64_t config_version = 0;  ///< Its configuration at the last call.
        bool is_current = true;            ///< It has called with the present epoch.
        std::string forward_address;       ///< See `sync_request`.
        double capacity = 1;               ///< Of its host, in cores.
        milliseconds lag{0};               ///< Of its event loop, before the last call.
        // Values that the router has received up to the last reply.
        std::uint64_t reply_number = 0;
        std::optional<std::map<std::string, std::uint32_t>> concurrency;
        std::optional<std::map<std::string, double>> rates;
        std::optional<dispatcher_names> dispatchers;
        std::uint64_t work_number = 0;          ///< See `work_times`.
        std::uint64_t earlier_work_number = 0;  ///< `work_number` before the last reply.
        std::optional<crash_findings> crashes;
        std::map<std::string, double> limit_shares;  ///< Shares of the last reply, by target.
        std::map<std::string, double> held_shares;   ///< Shares that it may be using, by target.
    };
    struct pending_reply {
        sync_request request;
        internal_server::respond respond;
        boot_time arrived_at;
        boot_time due;  ///< Earliest time of the reply.
    };

    void record_caller(const sync_request& request, boot_time now);
    [[nodiscard]] bool is_behind(const sync_request& request);
    /// Changes of the configuration that a router lacks; nothing if it lacks none.
    [[nodiscard]] const config_update* missing_config(const sync_request& request);
    /// Adds the changes of the configuration that the router lacks, or another router from which it
    /// gets them.
    void add_config(sync_reply& reply, const sync_request& request, boot_time now);
    /// Routers that have the leader's configuration.
    [[nodiscard]] std::vector<config_peer> config_holders(boot_time now) const;
    [[nodiscard]] config_peer peer_of(const std::string& host, const follower& router) const;
    void record_reports(const std::string& host, sync_request& request, boot_time now);
    void allocate_quotas(boot_time now);
    /// Routers that could be dispatchers: the followers that call regularly.
    [[nodiscard]] std::vector<dispatch_candidate> dispatch_candidates(boot_time now) const;
    /// Logs the destinations whose dispatchers have changed.
    void log_dispatchers(const dispatcher_map& before) const;
    /// Allots shares of the request limits that targets have named.
    void share_limits(boot_time now);
    void find_crashes(boot_time now);
    /// Logs the work done for followers since the last call.
    void log_load();
    /// Replies to calls that are due, the oldest first, while few replies are in transit.
    void send_due_replies();
    void reply_to(pending_reply& waiting);
    /// Size of the replies that routers may still be receiving, by region.
    [[nodiscard]] std::map<std::string, std::size_t> bytes_in_transit(boot_time now) const;
    void add_totals(const sync_reply& reply);
    void add_maps(sync_reply& reply, const sync_request& request, boot_time now);
    void add_registry(sync_reply& reply, const sync_request& request);
    void add_quotas(sync_reply& reply, const std::string& host, follower& caller) const;
    void add_work(sync_reply& reply, follower& caller) const;
    void add_crashes(sync_reply& reply, follower& caller) const;

    router_core& core_;
    fleet_state& fleet_;
    sources from_;
    boot_time term_began_;                       ///< When this router became the leader.
    std::map<std::string, follower> followers_;  ///< By host.
    /// Changes since earlier versions of the configuration, by version; kept for one version.
    std::map<std::uint64_t, config_update> config_updates_;
    config_distribution distribution_;
    std::vector<pending_reply> pending_replies_;
    bool replies_deferred_ = false;  ///< Whether replies to all pending calls are scheduled.
    state_history<registry_state, registry_update> registries_;
    /// By service.
    std::map<std::string, state_history<key_map, key_map_update>> maps_;
    demand_rates demand_;
    quota_plan quotas_;
    dispatch_state dispatch_;
    std::map<std::string, fleet_limit> limits_;  ///< By target.
    /// Shares of these limits, by host, then by target; negative: the limit has ended.
    std::map<std::string, std::map<std::string, double>> limit_shares_;
    crash_watch crash_watch_;
    work_times work_;
    boot_time next_work_;
    boot_time next_evaluation_;
    struct reply_totals {
        std::int64_t replies = 0;
        std::int64_t bytes = 0;
        std::int64_t whole_registries = 0;
        std::int64_t registry_entries = 0;
        std::int64_t key_segments = 0;
        std::int64_t quotas = 0;  ///< Concurrency and rate quotas.
        std::int64_t work_times = 0;
    };
    reply_totals totals_;  ///< Since the last `log_load`.
    boot_time next_load_line_;
    lifetime life_;
};

/// Applies the rate quotas that the leader allocated to this router.
void apply_rate_quotas(routing_state& state, const std::map<std::string, double>& rates,
                       boot_time now);

}  // namespace mimosavalve::gateway
