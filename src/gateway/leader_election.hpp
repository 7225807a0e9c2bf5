#pragma once

#include <functional>
#include <string_view>

#include "store_follower.hpp"

namespace mimosavalve::gateway {

/// Finds out who leads, and takes the lead when nobody does: the leader is who holds the item
/// `leader` of the store, under a lease. The revision of the item is the leader's epoch.
class leader_election {
public:
    struct callbacks {
        std::function<void()> known;  ///< Another leader is known, or none any more.
        std::function<void()> began;  ///< This router leads now.
        std::function<void()> ended;  ///< It leads no longer.
        std::function<void(std::error_code)> lease_answered;  ///< By the store, to a renewal.
    };

    leader_election(router_core& core, fleet_state& fleet, callbacks handlers);

    void start();
    void tick(boot_time now);
    /// Ends the lease, so that a successor can be elected at once. While the store is lost there
    /// can be none: the leader goes on to the end of its process.
    void hand_over();
    /// Another router tells that it leads.
    void take_notice(const leader_identity& leader);

    /// The store has surely not ended the lease before.
    [[nodiscard]] boot_time lease_until() const { return lease_until_; }
    [[nodiscard]] std::string key() const { return core_.platform.keys.fleet + "leader"; }

private:
    void take_item(const store_item& item);
    void take_leader(const leader_identity& leader);
    void stand();
    void open_lease();
    void take_lead(std::uint64_t lease, boot_time valid_until);
    void keep_lease(boot_time now);
    void step_down(std::string_view why);
    [[nodiscard]] milliseconds lease_time() const;

    router_core& core_;
    fleet_state& fleet_;
    callbacks handlers_;
    store_follower follower_;
    bool standing_ = false;
    boot_time next_standing_;
    std::uint64_t lease_ = 0;
    boot_time lease_until_;
    boot_time next_keep_;
    lifetime life_;
};

}  // namespace mimosavalve::gateway
