#pragma once

#include <functional>
#include <vector>

#include "fleet_state.hpp"
#include "internal_server.hpp"
#include "lifetime.hpp"
#include "mimosavalve/gateway/config_distribution.hpp"
#include "mimosavalve/gateway/config_update.hpp"
#include "mimosavalve/gateway/leader_term.hpp"
#include "mimosavalve/gateway/quota_plan.hpp"
#include "reply_queue.hpp"
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
        /// Receives a router's reports of answers 421.
        std::function<void(const std::string& host, const sync_request& reports)>
            add_contradictions = nullptr;
        /// Measures the loop time that calls take; replaced in tests.
        std::function<std::chrono::steady_clock::time_point()> loop_clock =
            std::chrono::steady_clock::now;
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
    /// Followers as possible successors of this leader.
    [[nodiscard]] std::vector<successor_candidate> successors(boot_time now) const;
    /// Whether the router has called after a reply that was sent at this time or later.
    [[nodiscard]] bool has_called_since(const std::string& host, boot_time replied_at) const;
    [[nodiscard]] boot_time term_began() const { return term_began_; }

private:
    struct follower {
        router_evidence evidence;
        boot_time replied_at;  ///< When the leader last replied to the router.
        std::string address;
        std::string failure_domain;
        std::string region;
        boot_time called_at;               ///< When the router last called.
        boot_time following_since;         ///< When this instance of it first called.
        std::uint64_t config_version = 0;  ///< Its configuration at the last call.
        std::uint32_t rank = 0;            ///< Position among the followers; see `update_ranks`.
        bool is_current = true;            ///< It has called with the present epoch.
        std::string forward_address;       ///< See `sync_request`.
        double capacity = 1;               ///< Of its host, in cores.
        std::uint32_t late_calls = 0;      ///< Consecutive calls that reported a late event loop.
        boot_time lagged_at;               ///< When it last reported `min_lag` or more.
        // Values that the router has received up to the last reply.
        std::uint64_t reply_number = 0;
        std::optional<std::map<std::string, std::uint32_t>> concurrency;
        std::optional<std::map<std::string, double>> rates;
        std::optional<dispatcher_names> dispatchers;
        std::optional<overflow_by_service> overflow;
        std::uint64_t work_number = 0;          ///< See `work_times`.
        std::uint64_t earlier_work_number = 0;  ///< `work_number` before the last reply.
        std::optional<crash_findings> crashes;
        std::map<std::string, double> limit_shares;  ///< Shares of the last reply, by target.
        std::map<std::string, double> held_shares;   ///< Shares that it may be using, by target.
    };
    struct arrived_call {
        std::string body;
        internal_server::respond respond;
        boot_time arrived_at;
    };

    /// Serves calls and due replies for `max_call_slice` of loop time; defers the rest.
    void serve_slice();
    /// Serves the next call or else sends the next due reply; returns whether there was one.
    bool serve_next();
    /// Records a call, and lets it wait for its reply.
    void accept(arrived_call call);
    /// Earliest time of the reply to a call of the router.
    [[nodiscard]] boot_time earliest_reply(const follower& caller, boot_time now);
    /// Removes followers that have not called for long.
    void expire_followers(boot_time now);
    /// Numbers the followers by host if there are other ones than before.
    void update_ranks();
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
    /// Takes the shares of the requests that may leave their failure domain from the plan.
    void announce_overflow(boot_time now);
    /// Allots shares of the request limits that targets have named.
    void share_limits(boot_time now);
    void find_crashes(boot_time now);
    /// Determines the largest capacity of the fleet's hosts.
    void compare_capacities(boot_time now);
    /// Logs the work done for followers since the last call.
    void log_load();
    void reply_to(waiting_call& waiting);
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
    bool ranks_valid_ = false;
    std::deque<arrived_call> arrived_;
    reply_queue replies_;
    reply_pacing pacing_;
    reply_pacing::cost slice_spent_{0};
    bool slice_deferred_ = false;
    boot_time next_pacing_line_;
    bool replies_deferred_ = false;  ///< Whether replies to all pending calls are scheduled.
    state_history<registry_state, registry_update> registries_;
    /// By service.
    std::map<std::string, state_history<key_map, key_map_update>> maps_;
    demand_rates demand_;
    quota_plan quotas_;
    dispatch_state dispatch_;
    /// Announced shares, by domain of the routers; empty until the demand is known.
    std::map<std::string, overflow_by_service> overflow_;
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
void apply_rate_quotas(routing_state& state, const std::map<std::string, double>& rates);

}  // namespace mimosavalve::gateway
