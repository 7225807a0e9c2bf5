#pragma once

#include <string>

#include "key_decider.hpp"
#include "leader_election.hpp"
#include "leader_right.hpp"
#include "operator_items.hpp"
#include "registry_reader.hpp"
#include "sync_client.hpp"
#include "sync_server.hpp"

namespace mimosavalve::gateway {

/// Keeps this router's view of configuration, targets and owners of keys up to date, and takes part
/// in the election of the leader. The leader alone reads the registry and decides about keys; the
/// others follow it over the internal port, and read the store themselves when it is silent.
class fleet_control {
public:
    fleet_control(router_core& core, call_client& calls);

    void start();
    /// Hands leadership on at once and stops following.
    void stop();

    /// A call of another router: a follower's report, or the notice of a new leader.
    void serve_sync(const std::string& body, small_server::respond respond);
    void serve_notice(const std::string& body, const small_server::respond& respond);

    /// Whether this router knows enough to serve.
    [[nodiscard]] bool is_ready() const;

private:
    void tick();
    void lead(boot_time now);
    void begin_term();
    void end_term();
    void take_news(const sync_reply& news);
    void read_key_records(boot_time now);
    void state_changed();

    router_core& core_;
    fleet_state fleet_;
    key_decider decider_;
    sync_server server_;
    sync_client client_;
    registry_reader registry_;
    operator_items operators_;
    leader_election election_;
    leader_right right_;
    bool inherited_end_told_ = false;
    boot_time next_records_;
    lifetime life_;
};

}  // namespace mimosavalve::gateway
