#pragma once

#include <functional>

#include "fleet_state.hpp"
#include "lifetime.hpp"
#include "mimosavalve/gateway/call_client.hpp"
#include "mimosavalve/gateway/leader_term.hpp"

namespace mimosavalve::gateway {

/// Until when the leader may act, and when it has taken over from its predecessor. Keeps the record
/// of the router runs that count when the store is lost (see leader_term.hpp for the reasons).
class leader_right {
public:
    using evidence_source = std::function<evidence_by_host(boot_time now)>;
    using runs_source = std::function<router_runs(boot_time now)>;

    /// `heard`: what the leader heard of the other routers; `followers`: those that follow it now.
    leader_right(router_core& core, fleet_state& fleet, call_client& calls, evidence_source heard,
                 runs_source followers);

    void begin();
    /// Looks at the evidence again. `lease_until`: end of the lease in the store.
    void tick(boot_time now, boot_time lease_until);

    /// End of the right to act: the lease gives it; without the store, the other routers do.
    [[nodiscard]] boot_time valid_until() const { return valid_until_; }
    /// Set once most of the recorded runs follow this leader: keys that earlier leaders granted are
    /// held until then at most.
    [[nodiscard]] const std::optional<boot_time>& inherited_end() const { return inherited_end_; }
    /// A leader that ends while the store is lost has no successor yet: its last grants should
    /// last.
    [[nodiscard]] bool wants_long_holds() const;
    /// Enough of the other routers know that it does.
    [[nodiscard]] bool may_hold_long() const { return may_hold_long_; }

private:
    void load();
    void take_over(boot_time now);
    void notify(boot_time now);
    void record(boot_time now, boot_time lease_until);
    void renew(boot_time now, boot_time lease_until);
    [[nodiscard]] std::optional<boot_time> right_by_routers(const evidence_by_host& heard) const;
    [[nodiscard]] std::string key() const { return core_.platform.keys.fleet + "routers"; }

    router_core& core_;
    fleet_state& fleet_;
    call_client& calls_;
    evidence_source heard_;
    runs_source followers_;
    router_runs recorded_;
    std::optional<router_runs> pending_;  ///< Written, and perhaps recorded.
    bool loaded_ = false;
    bool call_running_ = false;
    boot_time next_record_;
    boot_time next_notice_;
    std::optional<boot_time> inherited_end_;
    boot_time valid_until_;
    bool acts_ = true;
    bool confirmed_ = false;  ///< The right comes from the other routers.
    bool may_hold_long_ = false;
    lifetime term_;
};

}  // namespace mimosavalve::gateway
