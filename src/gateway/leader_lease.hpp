#pragma once

#include <functional>
#include <vector>

#include "fleet_state.hpp"
#include "lifetime.hpp"
#include "mimosavalve/gateway/call_client.hpp"
#include "mimosavalve/gateway/leader_term.hpp"

namespace mimosavalve::gateway {

/// Determines until when the leader may act, and when it has taken over from its predecessor. Keeps
/// the record of the router instances that count when the store is lost (see leader_term.hpp for
/// the reasons).
class leader_lease {
public:
    using evidence_source = std::function<evidence_by_host(boot_time now)>;
    using instances_source = std::function<router_instances(boot_time now)>;

    /// `evidence`: what the calls of all routers prove; `followers`: instances that follow now.
    leader_lease(router_core& core, fleet_state& fleet, call_client& calls,
                 evidence_source evidence, instances_source followers);

    /// Begins a new term.
    void begin();
    /// Continues the term under a new epoch, after the store has come back older.
    void continue_term();
    /// Evaluates the evidence. `lease_until`: end of the lease in the store.
    void tick(boot_time now, boot_time lease_until);

    /// End of the leader's term: that of the lease in the store or, when the store is lost, the one
    /// that the routers confirm.
    [[nodiscard]] boot_time valid_until() const { return valid_until_; }
    /// Latest end of holds that earlier leaders granted, without the transit of these grants. Set
    /// once the predecessor's term is over: enough of the recorded router instances follow this
    /// leader or have ended, or the others are silent for so long that they may be gone for good.
    /// Becomes earlier when further instances show that there are no long holds.
    [[nodiscard]] const std::optional<boot_time>& inherited_end() const { return inherited_end_; }
    /// Whether this leader should grant long holds: it is stopping while the store is lost, so no
    /// successor can renew its grants yet.
    [[nodiscard]] bool wants_long_holds() const;
    /// Whether it may grant them: more than half of the recorded router instances have received its
    /// announcement.
    [[nodiscard]] bool may_grant_long_holds() const { return may_grant_long_holds_; }
    /// Latest time at which a long hold of this leader may end.
    [[nodiscard]] boot_time own_long_holds_end() const;

private:
    /// Reads the recorded router instances at the beginning of the term.
    void load();
    /// Sets the end of inherited holds once the predecessor's term is over.
    void take_over(boot_time now);
    /// Whether the predecessor's term is over although too few of its routers have been heard of.
    [[nodiscard]] bool has_outwaited_predecessor(boot_time now) const;
    /// Updates the end of inherited holds by the evidence of now, until it has passed.
    void update_inherited_end(boot_time now, const evidence_by_host& evidence);
    void announce_leader(boot_time now);
    /// Writes the router instances that follow this leader to the store when they have changed.
    /// Until inherited holds have ended, also their end: the instances may not know of it.
    void record_instances(boot_time now, boot_time lease_until);
    /// Reads the revision of the record after a write without a known effect.
    void read_revision();
    /// Time until inherited holds end, in ms; 0 if a successor waits for it anyway.
    [[nodiscard]] std::uint64_t inherited_holds_to_record(boot_time now) const;
    void update_valid_until(boot_time now, boot_time lease_until);
    [[nodiscard]] std::optional<boot_time> lease_by_routers(const evidence_by_host& evidence) const;
    [[nodiscard]] std::string key() const { return core_.platform.keys.fleet + "routers"; }

    router_core& core_;
    fleet_state& fleet_;
    call_client& calls_;
    evidence_source evidence_;
    instances_source followers_;
    router_instances recorded_;
    /// Further records that a successor may have read: the one that is being written, those whose
    /// writes got no answer, and those that the store has lost by coming back older.
    std::vector<router_instances> unconfirmed_;
    std::uint64_t record_revision_ = 0;  ///< Of the record in the store; 0: there is none.
    bool record_changed_ = false;        ///< The revision has to be read again.
    bool loaded_ = false;
    bool record_current_ = false;  ///< The record that was read is of this era of the store.
    bool call_in_flight_ = false;
    boot_time next_record_;
    boot_time next_announcement_;
    int announcements_ = 0;            ///< Number of times that they have been sent in this term.
    boot_time lease_until_;            ///< End of the lease in the store.
    boot_time predecessor_lease_end_;  ///< The predecessor's lease has ended then at the latest.
    /// Records of routers by which this leader has taken over.
    std::vector<router_instances> inherited_records_;
    /// Since then at the latest, the recorded routers no longer confirm the predecessor.
    boot_time predecessor_left_at_;
    /// Latest end of inherited holds by what routers have reported in this term.
    boot_time reported_end_;
    /// The same by the predecessor's record, for holds of its own predecessors.
    boot_time recorded_end_;
    /// Whether this leader's record has an end of inherited holds.
    bool has_recorded_end_ = false;
    bool would_know_long_holds_ = false;  ///< Routers would have reported long holds.
    std::optional<boot_time> inherited_end_;
    boot_time valid_until_;
    boot_time confirmed_until_;  ///< Latest end of the term that routers have confirmed.
    bool may_act_ = true;
    bool confirmed_by_routers_ = false;  ///< The store is lost, and routers confirm the term.
    bool may_grant_long_holds_ = false;
    lifetime term_life_;
};

}  // namespace mimosavalve::gateway
