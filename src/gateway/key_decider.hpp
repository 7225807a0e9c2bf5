#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "lifetime.hpp"
#include "mimosavalve/gateway/key_plan.hpp"
#include "mimosavalve/gateway/leader_term.hpp"
#include "mimosavalve/gateway/platform_port.hpp"
#include "router_core.hpp"

namespace mimosavalve::gateway {

/// The right to decide, as it stands in the store.
struct leadership {
    std::uint64_t epoch = 0;  ///< Revision of the leader's item; grows from leader to leader.
    std::string key;          ///< Of the leader's item.
    boot_time valid_until;    ///< The lease has surely not ended before.
};

/// Decides who owns which keys, while this router is the leader. Owners are recorded in the store
/// before they are granted; every write depends on the leader's item. A key passes to another
/// target only when the old owner has released it, or its hold has surely ended.
class key_decider {
public:
    key_decider(router_core& core, std::function<void()> changed);
    ~key_decider();

    /// Begins to decide. Reads the recorded owners first.
    void begin(const leadership& right);
    void extend(boot_time valid_until) { right_.valid_until = valid_until; }
    /// From now on, keys that earlier leaders granted are known to be held until `end` at most. No
    /// key leaves an owner before: a leader that has lost the store may renew it until then, and a
    /// release does not make the target refuse that.
    void set_inherited_end(boot_time end) { inherited_end_ = end; }
    void end();

    /// The store does not answer, so that nothing can be recorded: no move begins.
    void set_store_trouble(bool on) { store_trouble_ = on; }
    /// More than half of the routers confirm that the store is lost: holds are made as long as
    /// allowed.
    void set_long_holds(bool on);

    [[nodiscard]] static hold_times hold_bounds(const platform_bounds& bounds);

    void add_loads(const std::map<std::string, key_load>& loads);
    /// Plans, sends and renews what is due; called every `tick_time`.
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
        boot_time next_try;
        std::uint32_t tries = 0;
        bool release_running = false;
        bool grant_running = false;
        bool released = false;  ///< By the old owner.
        boot_time began;
    };
    struct service_state {
        key_map recorded;
        std::uint64_t revision = 0;  ///< Of the record; 0: there is none.
        bool loaded = false;
        bool writing = false;
        key_rates rates;
        std::list<running_move> moves;
        std::map<std::uint32_t, boot_time> next_renewals;  ///< By first key of a range.
        boot_time next_plan;
    };
    /// A grant that was sent and not answered: it may be on its way, or take effect later.
    struct open_grant {
        std::uint64_t number = 0;
        std::uint32_t first = 0;
        std::uint32_t last = 0;
        boot_time end;        ///< Its hold does not last longer.
        bool running = true;  ///< The call has not ended.
    };
    /// What is known about the holds of one target.
    struct holder {
        std::string address;
        boot_time granted_until;  ///< No grant that may have arrived lasts longer.
        std::vector<open_grant> open_grants;
        boot_time answered;        ///< Last answer to a grant.
        std::uint32_t failed = 0;  ///< Grants in a row without an answer.
    };

    void load_records();
    void plan(const std::string& name, service_state& state, boot_time now);
    void start_move(const std::string& name, service_state& state, const planned_move& planned,
                    boot_time now);
    void step(const std::string& name, service_state& state, running_move& move, boot_time now);
    void release(running_move& move, boot_time now);
    /// When the old owner surely holds the keys no longer and no grant can give them back to it.
    [[nodiscard]] boot_time free_at(const running_move& move);
    [[nodiscard]] std::int64_t expected_wait_ms(const running_move& move, boot_time now);
    void record(const std::string& name, service_state& state, boot_time now);
    void finish_record(const std::string& name, const key_map& written, std::error_code error,
                       std::uint64_t revision);
    void confirm_record(const std::string& name, const key_map& written);
    void grant_moved(running_move& move, boot_time now);
    void renew(boot_time now);
    void send_grant(const key_segment& keys, const std::string& handover, boot_time now,
                    std::function<void(std::error_code)> done);
    void refence(const std::string& service, const key_segment& keys);
    void publish(const std::string& name, const key_segment& keys);
    [[nodiscard]] std::vector<key_candidate> candidates_of(const std::string& name,
                                                           boot_time now) const;
    [[nodiscard]] milliseconds hold_time() const;
    [[nodiscard]] bool may_act(boot_time now) const { return active_ && now < right_.valid_until; }
    [[nodiscard]] std::string record_key(const std::string& name) const;
    holder& holder_of(const std::string& id);
    [[nodiscard]] static boot_time held_until(const holder& target);
    /// Whether a grant of some of these keys is on its way to the target.
    [[nodiscard]] static bool has_running_grant(const holder& target, const key_segment& keys);
    /// When the holds of unanswered grants of some of these keys have ended.
    [[nodiscard]] static boot_time unanswered_until(const holder& target, const key_segment& keys);
    /// Whether a target has not answered for so long that it gets no keys.
    [[nodiscard]] bool is_lost(const std::string& id, boot_time now) const;

    router_core& core_;
    std::function<void()> changed_;
    leadership right_;
    bool active_ = false;
    bool store_trouble_ = false;
    bool long_holds_ = false;
    boot_time inherited_end_ = boot_time::max();
    bool loading_ = false;
    boot_time term_began_;
    boot_time settled_;  ///< Since then the set of targets is the same.
    std::size_t known_targets_ = 0;
    std::uint64_t next_fence_ = 1;
    std::uint64_t next_grant_ = 1;
    std::map<std::string, service_state> services_;
    std::map<std::string, holder> holders_;  ///< By target id.
    lifetime term_;
};

}  // namespace mimosavalve::gateway
