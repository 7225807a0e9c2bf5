#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "grant_transit.hpp"
#include "lifetime.hpp"
#include "mimosavalve/gateway/key_plan.hpp"
#include "mimosavalve/gateway/leader_term.hpp"
#include "mimosavalve/gateway/peer_messages.hpp"
#include "mimosavalve/gateway/platform_port.hpp"
#include "owner_report.hpp"
#include "router_core.hpp"

namespace mimosavalve::gateway {

/// A leader's term: its item in the store, and until when it may act.
struct leadership {
    std::uint64_t epoch = 0;  ///< Revision of the leader's item; increases with each leader.
    std::string key;          ///< Store key of the leader's item.
    boot_time valid_until;    ///< The lease is guaranteed to last until then.
    /// Whether the store is known to have come back older, so that it may have lost whole records.
    bool store_came_back = false;
};

/// Assigns keys to targets while this router is the leader. A new owner is recorded in the store
/// before the keys are granted to it; every write depends on the leader's item. A key moves to
/// another target only after the old owner has released it or its hold is guaranteed to have ended.
class key_decider {
public:
    key_decider(router_core& core, std::function<void()> changed);
    ~key_decider();

    /// Begins a term. Reads the recorded owners first.
    void begin(const leadership& term);
    /// Continues the term under a new epoch, after the store has come back older: owners, holds and
    /// moves are kept, and the owners are recorded again.
    void continue_term(const leadership& term);
    /// Sets the new end of the current term.
    void extend(boot_time valid_until) { current_term_.valid_until = valid_until; }
    /// Sets the latest end of holds that earlier leaders granted. No key leaves its owner before:
    /// an earlier leader that cannot reach the store may renew the grant until then, and the target
    /// does not refuse such a renewal after a release.
    void set_inherited_end(boot_time end);
    /// Ends the term. Answers to calls of the term are ignored.
    void end();

    /// Sets whether the store is unavailable. No move begins then, since the new owner could not be
    /// recorded.
    void set_store_unavailable(bool on) { store_unavailable_ = on; }
    /// Sets whether grants get the maximum hold time, which is allowed while more than half of the
    /// routers confirm that the store is lost. Turning it on renews all grants at once. A hold that
    /// would end after `latest_end` is shortened, but not below the normal hold time.
    void set_long_holds(bool on, boot_time latest_end = boot_time::max());

    /// Hold times of this platform, with the margin for clock drift.
    [[nodiscard]] static hold_times hold_bounds(const platform_bounds& bounds);

    /// Longest transit of a grant to any target with keys, by the answers that this leader has got:
    /// that of a congested network until the networks to all regions are known to be sound.
    [[nodiscard]] milliseconds longest_transit(boot_time now) const;

    /// Adds the requests by key that routers reported, by service.
    void add_loads(const std::map<std::string, key_load>& loads);
    /// Adds a router's reports of answers 421: renews the grant of a range or assigns a new fence,
    /// and takes targets that have moved for lost.
    void add_contradictions(const std::string& host, const sync_request& reports);
    /// Plans and advances moves and renews grants that are due; called every `tick_time`.
    void tick();

    static constexpr milliseconds tick_time{50};

private:
    enum class move_phase { releasing, ready, recording, granting, done };
    struct running_move {
        std::string service;
        key_segment keys;  ///< With the new owner and fence.
        std::string old_owner;
        move_phase phase = move_phase::ready;
        std::string handover;
        boot_time not_before;  ///< The old owner may hold the keys until then.
        boot_time next_attempt;
        std::uint32_t attempts = 0;
        bool release_in_flight = false;
        bool grant_in_flight = false;
        bool released = false;  ///< Whether the old owner has released the keys.
        boot_time began;
        boot_time release_sent_at;  ///< When the last release was sent; for the log.
    };
    struct service_state {
        key_map recorded;
        std::uint64_t revision = 0;  ///< Revision of the record; 0: there is none.
        bool loaded = false;
        bool writing = false;
        /// The record may lack the last moves, since the store has come back older. No order is
        /// sent by it.
        bool outdated = false;
        /// The store has come back older, so `revision` has to be read again.
        bool revision_lost = false;
        bool must_record = false;  ///< The owners have to be recorded although no move is ready.
        boot_time next_record;     ///< Earliest time to do so.
        key_rates rates;
        std::list<running_move> moves;
        std::map<std::uint32_t, renewal_times> renewals;  ///< By first key of a range.
        std::map<std::uint32_t, range_reports> reports;   ///< Of answers 421, by first key.
        boot_time next_plan;
    };
    /// A grant that was sent and not answered: it may be in transit, or take effect later.
    struct pending_grant {
        std::uint64_t number = 0;
        std::uint32_t first = 0;
        std::uint32_t last = 0;
        boot_time sent_at;
        milliseconds hold{0};
        bool in_flight = true;  ///< Whether the call has not ended.
    };
    /// State of the grants to one target.
    struct target_holds {
        std::string address;
        std::string region;
        boot_time granted_until;  ///< Latest end of the holds of all grants that were answered.
        std::vector<pending_grant> pending_grants;
        /// Time of the last answer to a grant; before the first answer, that of the first grant.
        boot_time answered_at;
        std::uint32_t failures = 0;  ///< Number of consecutive grants without an answer.
        bool has_timed_out = false;  ///< Whether one of these took longer than a fast answer.
        boot_time sent_at;           ///< When the last grant was sent.
    };
    /// The network to the targets of one region.
    struct region_transit {
        transit_evidence evidence;
        bool logged_as_sound = false;
    };

    void load_records();
    /// Reads the revisions of the records in a continued term.
    void load_revisions();
    void use_revisions(const store_items& items);
    /// Takes over the record of a service at the beginning of the term; nothing: there is none.
    void use_record(const std::string& name, service_state& state,
                    const std::optional<key_record>& record);
    /// Marks the keys of an outdated record as moving until the inherited end.
    void announce_outdated(const std::string& name, const service_state& state, boot_time now);
    /// Assigns new fences by an outdated record once the holds of earlier leaders have ended.
    void replace_outdated(const std::string& name, service_state& state, boot_time now);
    void plan(const std::string& name, service_state& state, boot_time now);
    void start_move(const std::string& name, service_state& state, const planned_move& planned,
                    boot_time now);
    void advance(const std::string& name, service_state& state, running_move& move, boot_time now);
    void release(running_move& move, boot_time now);
    /// Keeps what the old owner hands over with the keys, unless a grant cannot carry it.
    void keep_handover(running_move& move, std::string_view handover);
    /// The new owner gets the keys without a handover.
    void drop_handover(running_move& move, std::string_view problem);
    /// Logs why the old owner cannot hold the keys any more.
    void log_free_keys(const running_move& move, boot_time now);
    /// Time from which the old owner is guaranteed not to hold the keys, and no grant in transit
    /// can give them back to it.
    [[nodiscard]] boot_time free_at(const running_move& move, boot_time now);
    [[nodiscard]] std::int64_t expected_wait_ms(const running_move& move, boot_time now);
    /// Writes the new owners of all moves that are ready to the store.
    void write_owners(const std::string& name, service_state& state, boot_time now);
    void on_owners_written(const std::string& name, const key_map& written, std::error_code error,
                           std::uint64_t revision);
    /// Reads the stored owners to find out whether a write took effect.
    void check_written_owners(const std::string& name, const key_map& written);
    void grant_moved(running_move& move, boot_time now);
    void renew(boot_time now);
    /// Returns whether the grant of the range has to be renewed now.
    bool add_misdirected(const std::string& host, const misdirected_report& report, boot_time now);
    /// Whether routers agree that another target has the address of the target's present entry.
    [[nodiscard]] bool has_moved(const std::string& id) const;
    void send_grant(const key_segment& keys, const std::string& handover, boot_time now,
                    std::function<void(std::error_code)> done);
    void on_grant_ended(const std::string& id, std::uint64_t number, boot_time sent_at,
                        milliseconds hold, std::error_code error);
    /// Assigns a new fence to a range after its owner has refused a renewal.
    void assign_new_fence(const std::string& service, const key_segment& keys);
    void publish(const std::string& name, const key_segment& keys);
    [[nodiscard]] std::vector<key_candidate> candidates_of(const std::string& name,
                                                           boot_time now) const;
    [[nodiscard]] milliseconds hold_time(boot_time now) const;
    [[nodiscard]] bool may_act(boot_time now) const {
        return active_ && now < current_term_.valid_until;
    }
    [[nodiscard]] std::string record_key(const std::string& name) const;
    target_holds& holds_of(const std::string& id);
    [[nodiscard]] const transit_evidence& transit_to(const target_holds& target) const;
    /// Logs regions whose network has become congested or sound.
    void log_transit(boot_time now);
    /// Latest end of the hold of an unanswered grant, as far as it is known now.
    [[nodiscard]] boot_time unanswered_end(const target_holds& target, const pending_grant& grant,
                                           boot_time now) const;
    [[nodiscard]] boot_time held_until(const target_holds& target, boot_time now) const;
    /// Whether a call that grants some of these keys to the target has not ended.
    [[nodiscard]] static bool has_grant_in_flight(const target_holds& target,
                                                  const key_segment& keys);
    /// Latest end of the holds of unanswered grants of some of these keys.
    [[nodiscard]] boot_time unanswered_until(const target_holds& target, const key_segment& keys,
                                             boot_time now) const;
    /// Whether the target has not answered for so long that it gets no keys and loses those it has.
    [[nodiscard]] bool is_unresponsive(const std::string& id, boot_time now) const;

    router_core& core_;
    std::function<void()> changed_;
    leadership current_term_;
    bool active_ = false;
    bool store_unavailable_ = false;
    bool long_holds_ = false;
    boot_time long_holds_end_;
    boot_time inherited_end_ = boot_time::max();
    /// Latest end of own holds from before the term, if the term could not be continued by them;
    /// else `boot_time{}`.
    boot_time own_holds_end_;
    bool loading_ = false;
    bool continued_ = false;  ///< The term has been continued.
    boot_time term_began_;
    boot_time targets_unchanged_since_;
    std::size_t target_count_ = 0;
    std::uint64_t next_fence_ = 1;
    std::uint64_t next_grant_ = 1;
    std::map<std::string, service_state> services_;
    std::map<std::string, target_holds> holds_by_target_;  ///< By target id.
    std::map<std::string, region_transit> transit_by_region_;
    std::map<std::string, moved_reports> moved_;  ///< By target id.
    lifetime term_life_;
    lifetime epoch_life_;  ///< Of calls to the store, which depend on the epoch.
};

}  // namespace mimosavalve::gateway
