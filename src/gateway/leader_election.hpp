#pragma once

#include <functional>
#include <optional>
#include <string_view>

#include "store_follower.hpp"

namespace mimosavalve::gateway {

/// Follows which router is the leader, and stands for election when there is none. The leader is
/// the router that has written the item `leader` in the store under a lease; the revision of the
/// item is the leader's epoch. An item from before the store came back older names no leader: the
/// leader is elected again without delay while its term is valid, and other candidates wait for it.
class leader_election {
public:
    struct callbacks {
        /// A leader is recorded or has announced itself.
        std::function<void()> leader_changed;
        std::function<void()> term_began;  ///< This router has become the leader.
        /// This router has been elected again before its term ended, because the store came back
        /// older.
        std::function<void()> term_continued;
        std::function<void()> term_ended;  ///< This router has ceased to be the leader.
        /// The store answered a lease renewal.
        std::function<void(std::error_code)> renewal_answered;
        std::function<boot_time()> term_valid_until;  ///< End of the term of this router.
    };

    leader_election(router_core& core, fleet_state& fleet, callbacks handlers);

    void start();
    void tick(boot_time now);
    /// Ends the lease, so that a successor can be elected at once. While the store is unavailable
    /// no successor can be elected: the leader retries, and leads until its process ends.
    void resign(std::string_view why);
    /// Whether this leader is ending its lease.
    [[nodiscard]] bool is_resigning() const { return resigning_; }
    /// Handles another router's announcement that it is the leader.
    void on_announcement(const leader_identity& leader);

    /// The store is guaranteed not to end the lease before this time.
    [[nodiscard]] boot_time lease_until() const { return lease_until_; }
    [[nodiscard]] std::string key() const { return core_.platform.keys.fleet + "leader"; }

private:
    /// Handles the leader's item as it was at this revision of the store.
    void on_item(const store_item& item, std::uint64_t store_revision);
    void set_leader(const leader_identity& leader);
    /// Handles that the store has come back older and names no leader of its new era.
    void on_vacancy(std::uint64_t revision);
    /// Whether the store has come back older since the known leader was elected.
    [[nodiscard]] bool has_new_era() const;
    void start_candidacy();
    /// Elects this leader again after the store has come back older. Steps down if the store names
    /// another leader, or if only the lease has ended.
    void stand_again(boot_time now);
    void on_own_item(std::error_code error, const store_item& item);
    void open_lease();
    void claim_leadership(std::uint64_t lease, boot_time valid_until);
    void begin_term(std::uint64_t lease, boot_time valid_until, std::uint64_t epoch);
    void renew_lease(boot_time now);
    void step_down(std::string_view why);
    [[nodiscard]] milliseconds lease_time() const;

    router_core& core_;
    fleet_state& fleet_;
    callbacks handlers_;
    store_follower follower_;
    /// After the store has come back older: revision of the item that names no leader any more and
    /// that a candidate replaces, or 0 if there is none.
    std::optional<std::uint64_t> vacancy_;
    bool is_candidate_ = false;
    boot_time next_candidacy_;
    /// Lease of the last claim, and its guaranteed end.
    std::uint64_t claimed_lease_ = 0;
    boot_time claimed_until_;
    std::uint64_t lease_ = 0;
    boot_time lease_until_;
    boot_time next_renewal_;
    bool resigning_ = false;
    lifetime life_;
};

}  // namespace mimosavalve::gateway
