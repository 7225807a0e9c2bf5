#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "key_decider.hpp"
#include "mimosavalve/gateway/leader_term.hpp"
#include "mimosavalve/gateway/peer_messages.hpp"
#include "mimosavalve/gateway/place_plan.hpp"
#include "router_core.hpp"
#include "small_server.hpp"

namespace mimosavalve::gateway {

/// Keeps this router's view of configuration, targets and owners of keys up to date, and takes part
/// in the election of the leader. The leader alone reads the registry and decides about keys; the
/// others follow it over the internal port, and read the store themselves when it is silent.
class fleet_control {
public:
    explicit fleet_control(router_core& core, call_client& calls);
    ~fleet_control();

    void start();
    /// Hands leadership on at once and stops following.
    void stop();

    /// A call of another router of ours.
    void serve_sync(const std::string& body, small_server::respond respond);
    /// A router tells that it leads.
    void serve_notice(const std::string& body, const small_server::respond& respond);

    /// Whether this router knows enough to serve.
    [[nodiscard]] bool is_ready() const;

private:
    struct follower {
        router_evidence evidence;
        boot_time replied;  ///< To its last call.
        std::string address;
        std::string failure_domain;
        boot_time seen;
        boot_time told_work;  ///< When it last got the work times.
    };
    struct pending_reply {
        sync_request request;
        small_server::respond respond;
        boot_time due;
    };

    void every(milliseconds period, std::function<void()> step);

    void list_operators();
    void watch_operators();
    void check_operators();
    void take_operators(const store_items& items);
    void retry_operators();
    void take_operator_item(const store_item& item);
    void take_config(const std::string& text, std::uint64_t revision);
    void apply_evacuations();

    void list_leader();
    void watch_leader();
    void retry_leader();
    void take_leader_item(const store_item& item);
    void take_leader(const leader_identity& leader);
    [[nodiscard]] leader_identity own_identity() const;
    void stand_for_election();
    void try_to_lead();
    void lead(std::uint64_t epoch, boot_time valid_until);
    void step_down(std::string_view why);
    void hand_over();
    void keep_lease();
    void renew_right(boot_time now);
    [[nodiscard]] bool wants_long_holds() const;
    [[nodiscard]] evidence_by_host evidence(boot_time now) const;
    void check_take_over(boot_time now);
    void notify_members(boot_time now);
    void load_members();
    void record_members(boot_time now);
    [[nodiscard]] std::string members_key() const;

    void read_registry();
    void read_key_records();
    void take_registry(const registry_state& next);
    void note_store(bool good, std::string_view call);

    void sync();
    void take_sync(const sync_reply& reply);
    void reply_to(pending_reply& waiting);
    void state_changed();
    void take_reports(const std::string& host, sync_request& request, boot_time now);
    void lend(boot_time now);
    void take_rates(const std::map<std::string, double>& rates);
    void lend_service(const service& kind, boot_time now);
    [[nodiscard]] sync_request make_request();

    router_core& core_;
    call_client& calls_;
    key_decider decider_;
    std::uint64_t run_;
    bool stopping_ = false;
    std::vector<std::unique_ptr<boost::asio::steady_timer>> timers_;
    std::vector<std::shared_ptr<std::function<void()>>> repeats_;
    bool answer_posted_ = false;

    // The operators' items.
    std::uint64_t operators_revision_ = 0;
    std::string config_text_;
    std::set<std::string> evacuated_;  ///< By this router's own reading.
    milliseconds operators_pause_{0};
    boot_time next_check_;
    bool operators_running_ = false;

    // The leader.
    std::uint64_t leader_revision_ = 0;
    std::uint64_t leader_epoch_ = 0;  ///< 0: none known.
    std::uint64_t newest_epoch_ = 0;  ///< Of all leaders that were known.
    std::string leader_host_;
    std::string leader_address_;
    milliseconds leader_pause_{0};
    bool leading_ = false;
    bool standing_ = false;
    boot_time next_election_;
    std::uint64_t lease_ = 0;
    boot_time lease_until_;
    boot_time next_keep_;
    bool keep_running_ = false;
    bool may_act_ = true;
    bool confirmed_without_store_ = false;
    router_runs members_;          ///< As recorded in the store.
    router_runs pending_members_;  ///< Written, perhaps recorded.
    bool members_in_doubt_ = false;
    bool members_loaded_ = false;
    bool members_running_ = false;
    bool taken_over_ = false;
    boot_time next_notice_;
    boot_time next_members_;
    bool long_holds_announced_ = false;  ///< By the leader that this router follows.
    std::optional<boot_time> told_long_holds_;

    // The registry.
    registry_memory registry_memory_;
    bool registry_running_ = false;
    boot_time registry_read_;  ///< Last good reading, by this router or its leader.
    boot_time next_registry_;
    boot_time next_records_;
    std::uint64_t registry_number_ = 1;
    std::map<std::string, std::uint64_t> map_numbers_;
    std::map<std::string, key_map> numbered_maps_;
    bool store_good_ = true;

    // Following and being followed.
    bool sync_running_ = false;
    boot_time next_sync_;
    boot_time synced_;
    std::uint32_t sync_failures_ = 0;
    std::uint64_t followed_epoch_ = 0;
    std::uint64_t followed_registry_ = 0;
    std::map<std::string, std::uint64_t> followed_maps_;
    std::map<std::string, follower> followers_;
    demand_rates demand_;
    lent_places lent_places_;
    std::map<std::string, std::map<std::string, double>> lent_rates_;  ///< By host, then target.
    boot_time next_lending_;
    std::vector<pending_reply> waiting_replies_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mimosavalve::gateway
