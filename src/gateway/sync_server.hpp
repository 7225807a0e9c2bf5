#pragma once

#include <functional>
#include <vector>

#include "fleet_state.hpp"
#include "lifetime.hpp"
#include "mimosavalve/gateway/leader_term.hpp"
#include "mimosavalve/gateway/lending.hpp"
#include "small_server.hpp"

namespace mimosavalve::gateway {

/// The leader's side of following: answers each router as soon as there is news for it, collects
/// what the routers report, and lends places and rates to them.
class sync_server {
public:
    struct sources {
        std::function<void(const std::map<std::string, key_load>&)> take_key_loads;
        /// Fills in what the other parts of the control side know.
        std::function<void(sync_reply&)> describe;
        std::function<const std::string&()> config_text;
        std::function<bool()> announces_long_holds;
    };

    sync_server(router_core& core, fleet_state& fleet, sources from);

    void begin();
    void end();
    void tick(boot_time now);

    void serve(const std::string& body, small_server::respond respond);
    void note_registry_change() { registries_.add(core_.state.registry); }
    /// Something that routers follow has changed.
    void note_change();

    [[nodiscard]] evidence_by_host evidence(boot_time now) const;
    /// Routers that were heard of lately.
    [[nodiscard]] router_runs followers(boot_time now) const;

private:
    struct follower {
        router_evidence evidence;
        boot_time replied;  ///< To its last call.
        std::string address;
        std::string failure_domain;
        boot_time seen;
        // What the last reply told.
        std::uint64_t reply_number = 0;
        std::optional<std::map<std::string, std::uint32_t>> places;
        std::optional<std::map<std::string, double>> rates;
        std::map<std::string, double> work_ms;
        boot_time told_work;  ///< When work times were last compared.
        std::optional<crash_news> crashes;
    };
    struct pending_reply {
        sync_request request;
        small_server::respond respond;
        boot_time due;
    };

    void note_caller(const sync_request& request, boot_time now);
    [[nodiscard]] bool is_behind(const sync_request& request) const;
    void take_reports(const std::string& host, sync_request& request, boot_time now);
    void lend(boot_time now);
    void find_crashes(boot_time now);
    void reply_to(pending_reply& waiting);
    void add_maps(sync_reply& reply, const sync_request& request, boot_time now) const;
    void add_registry(sync_reply& reply, const sync_request& request) const;
    void add_loans(sync_reply& reply, const std::string& host, follower& asking) const;
    void add_work(sync_reply& reply, follower& asking, boot_time now) const;
    void add_crashes(sync_reply& reply, follower& asking) const;

    router_core& core_;
    fleet_state& fleet_;
    sources from_;
    boot_time began_;                            ///< When this router became the leader.
    std::map<std::string, follower> followers_;  ///< By host.
    std::vector<pending_reply> waiting_;
    bool answer_posted_ = false;
    state_history<registry_state> registries_;
    std::map<std::string, state_history<key_map>> maps_;  ///< By service.
    demand_rates demand_;
    lending_plan lent_;
    crash_watch crash_watch_;
    boot_time next_lending_;
    lifetime life_;
};

/// Applies the rates that the leader lent to this router.
void take_rates(routing_state& state, const std::map<std::string, double>& rates);

}  // namespace mimosavalve::gateway
