#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gateway/grant_transit.hpp"
#include "gateway/key_decider.hpp"
#include "gateway/leader_lease.hpp"
#include "mimosavalve/core/error.hpp"

namespace mimosavalve::gateway::testing {

/// A process of a router: its leader_lease is the real one; following, elections and grants are
/// simulated.
struct model_router {
    model_router(const std::string& host, const std::string& failure_domain,
                 const region_map& regions, std::uint64_t instance);

    observe::decision_log log;
    boost::asio::io_context context;
    router_core core;
    fleet_state fleet;
    call_client calls{context};
    std::map<std::string, router_evidence> followers;  ///< While it leads.
    std::map<std::string, boot_time> called_at;        ///< Last calls of the followers.
    leader_lease lease;
    boot_time lease_until;
    boot_time next_renewal;  ///< Of the lease.
    boot_time next_grant;
    boot_time store_missed_at;           ///< First call to the store without an answer; else `{}`.
    bool knows_long_holds = false;       ///< The last reply of its leader announced them.
    std::set<int> registered;            ///< Targets that it knows to have entries.
    std::map<int, boot_time> own_holds;  ///< Ends of the holds that it has granted, by target.
    boot_time frozen_until;
    boot_time ends_at = boot_time::max();  ///< Of a planned stop.
};

/// Routers that are killed, stopped, frozen, cut off and replaced for good, a store that goes away,
/// and the targets that hold one range of keys in turn.
class leader_model {
public:
    /// `region_count` regions with two failure domains each.
    leader_model(int router_count, int region_count);

    void advance_time(milliseconds time);
    /// Ends the process of a router. It starts again after `pause`, unless its host is gone.
    void kill(const std::string& host, milliseconds pause);
    /// The host never comes back; a new one takes its place after `pause`.
    void replace(const std::string& host, milliseconds pause);
    /// Stops a router as planned: it ends after `grace`, and starts again after `pause`.
    void stop(const std::string& host, milliseconds grace, milliseconds pause);
    void freeze(const std::string& host, milliseconds time);
    void lose_store(milliseconds time, bool leases_pause);
    void cut_from_store(const std::string& host, milliseconds time);
    /// Cuts off a host, or all hosts of a region, from the others.
    void cut_host(const std::string& host, milliseconds time);
    void cut_region(int region, milliseconds time);
    /// The target's entry is missing for this time; it still serves.
    void hide_target(int target, milliseconds time);
    void hide_owner(milliseconds time) { hide_target(owner_, time); }
    /// Ends all faults, except that hosts which are gone do not come back.
    void heal();
    /// The recorded owner ends for good.
    void lose_owner() { lost_targets_.insert(owner_); }

    [[nodiscard]] std::vector<std::string> hosts() const;
    [[nodiscard]] std::string leader() const;
    [[nodiscard]] bool owner_serves() const;
    [[nodiscard]] int region_of_host(const std::string& host) const;

    static constexpr int target_count = 3;
    static constexpr milliseconds step{50};

    boot_time now{std::chrono::hours(1)};
    std::vector<std::string> violations;
    std::minstd_rand random;

private:
    struct host_state {
        std::string failure_domain;
        std::unique_ptr<model_router> router;  ///< Null while no process runs.
        boot_time starts_at;
        boot_time cut_until;
        boot_time cut_from_store_until;
    };

    void start(const std::string& host);
    void run(const std::string& host, model_router& router);
    void follow(const std::string& host, model_router& router);
    void lead(const std::string& host, model_router& router);
    void grant(model_router& router);
    void stand_for_election(const std::string& host, model_router& router);
    void announce(const std::string& host, const model_router& router);
    [[nodiscard]] evidence_by_host evidence_of(const std::string& host, boot_time at);
    [[nodiscard]] bool reaches_store(const std::string& host) const;
    [[nodiscard]] bool connects(const std::string& from, const std::string& to) const;
    [[nodiscard]] bool is_registered(int target) const;

    int region_count_;
    region_map regions_;
    std::map<std::string, host_state> hosts_;
    int next_host_ = 1;
    std::uint64_t next_instance_ = 1;
    std::map<int, boot_time> cut_regions_;
    boot_time store_lost_until_;
    // The store.
    std::uint64_t revision_ = 1;
    leader_identity leader_item_;  ///< Epoch 0: there is none.
    boot_time leader_lease_end_;
    std::string record_;
    std::uint64_t record_revision_ = 0;
    int owner_ = 0;  ///< Recorded owner of the keys.
    // The targets.
    std::map<int, boot_time> held_until_;
    std::map<int, boot_time> hidden_until_;
    std::set<int> lost_targets_;
};

}  // namespace mimosavalve::gateway::testing
