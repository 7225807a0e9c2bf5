#pragma once

#include <fcntl.h>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "gateway/key_decider.hpp"
#include "mimosavalve/core/error.hpp"
#include "mimosavalve/gateway/peer_messages.hpp"

namespace mimosavalve::gateway::testing {

/// A grant or a release that a target received.
struct received_order {
    bool grant = true;
    std::string address;
    key_segment keys;
    milliseconds hold{0};
    std::string handover;
    key_commands::done_handler done;
    boot_time sent_at{};
};

/// Simulates the store and the targets of a decider, with a clock that only the test advances.
class decider_fixture {
public:
    decider_fixture()
        : log(open("/dev/null", O_WRONLY | O_CLOEXEC)),
          core(context, {}, log),
          decider(core, [this] { ++changes; }) {
        core.now = [this] { return now; };
        core.defer = [](const std::function<void()>& step) { step(); };
        core.wake_waiting = [] {};
        core.deadlines_changed = [] {};
        core.platform.keys = {"config", "evacuated/", "operators/", "targets/", "own/"};
        core.platform.store.list = [this](const std::string& prefix, const std::string&,
                                          call_deadline, metadata_store::items_handler done) {
            if (delay_lists) {
                delayed_lists.push_back(std::move(done));
                return;
            }
            store_items items;
            for (const auto& [key, item] : stored) {
                if (key.starts_with(prefix)) {
                    items.items.push_back(item);
                }
            }
            items.revision = revision;
            answer_later([done, items] { done({}, items); });
        };
        core.platform.store.read = [this](const std::string& key, call_deadline,
                                          metadata_store::item_handler done) {
            if (store_unavailable) {
                answer_later([done] { done(make_error_code(errc::store_unavailable), {}, 0); });
                return;
            }
            const auto found = stored.find(key);
            if (found == stored.end()) {
                answer_later(
                    [this, done] { done(make_error_code(errc::not_found), {}, revision); });
            } else {
                answer_later([this, done, item = found->second] { done({}, item, revision); });
            }
        };
        core.platform.store.write = [this](const store_batch& batch, call_deadline,
                                           const metadata_store::number_handler& done) {
            ++writes;
            if (store_unavailable) {
                answer_later([done] { done(make_error_code(errc::store_unavailable), 0); });
                return;
            }
            for (const auto& condition : batch.conditions) {
                const auto found = stored.find(condition.key);
                const auto current = found == stored.end() ? 0 : found->second.revision;
                if (current != condition.revision) {
                    answer_later([done] { done(make_error_code(errc::store_conflict), 0); });
                    return;
                }
            }
            ++revision;
            for (const auto& write : batch.writes) {
                stored[write.key] = {write.key, write.value, revision, revision, 0};
            }
            const bool lose = lose_write_answers > 0;
            lose_write_answers -= lose ? 1 : 0;
            answer_later([this, done, lose] {
                done(lose ? make_error_code(errc::store_unavailable) : std::error_code(), revision);
            });
        };
        core.platform.commands.grant = [this](const std::string& address, const key_segment& keys,
                                              milliseconds hold, const std::string& handover,
                                              call_deadline, key_commands::done_handler done) {
            receive({true, address, keys, hold, handover, std::move(done)});
        };
        core.platform.commands.release = [this](const std::string& address, const key_segment& keys,
                                                call_deadline, key_commands::done_handler done) {
            receive({false, address, keys, milliseconds(0), "", std::move(done)});
        };
        service kind;
        kind.name = "status";
        kind.keyed = true;
        core.state.config.version = 1;
        core.state.config.services.emplace("status", kind);
        route on;
        on.services.push_back({"status", 1});
        core.state.config.routes.push_back(on);
        stored["own/leader"] = {"own/leader", "", 5, 5, 0};
    }

    void add_target(const std::string& id, std::uint64_t instance = 1) {
        target_entry entry;
        entry.id = id;
        entry.service = "status";
        entry.address = id;
        entry.slots = 4;
        entry.started_unix_ms = instance;
        core.state.registry.targets[id] = entry;
        update_targets(core.state, now);
    }
    /// Puts a target into a failure domain, which is the only one of the region.
    void place_target(const std::string& id, const std::string& region) {
        core.state.regions[region + "-domain"] = region;
        core.state.registry.targets.at(id).failure_domain = region + "-domain";
        update_targets(core.state, now);
    }
    void remove_target(const std::string& id) {
        core.state.registry.targets.erase(id);
        update_targets(core.state, now);
    }
    void lead(std::uint64_t epoch = 5) {
        decider.begin({epoch, "own/leader", now + std::chrono::hours(1), store_came_back});
        decider.set_inherited_end(now);
    }
    /// Advances the clock in steps of the decider, and delivers answers.
    void advance_time(milliseconds time) {
        for (const auto end = now + time; now < end; now += key_decider::tick_time) {
            deliver();
            decider.tick();
            deliver();
        }
    }
    /// Leaves the grants of the next step unanswered; returns the handler of the last of them.
    key_commands::done_handler delay_next_grant() {
        key_commands::done_handler held;
        const auto usual = core.platform.commands.grant;
        core.platform.commands.grant =
            [&](const std::string&, const key_segment&, milliseconds, const std::string&,
                call_deadline, key_commands::done_handler done) { held = std::move(done); };
        advance_time(key_decider::tick_time);
        core.platform.commands.grant = usual;
        return held;
    }
    [[nodiscard]] std::string owner_of(std::uint32_t key) const {
        return segment_of(core.state.keys.at("status"), key).owner;
    }
    [[nodiscard]] std::size_t count_orders(bool grants, const std::string& address) const {
        std::size_t count = 0;
        for (const auto& order : orders) {
            count += order.grant == grants && order.address == address ? 1 : 0;
        }
        return count;
    }
    /// When the target was last sent a grant.
    [[nodiscard]] boot_time last_grant_to(const std::string& address) const {
        boot_time last;
        for (const auto& order : orders) {
            if (order.grant && order.address == address) {
                last = std::max(last, order.sent_at);
            }
        }
        return last;
    }
    /// Advances the clock until the target is sent a grant, `limit` at most; returns its time.
    boot_time await_grant_to(const std::string& address, milliseconds limit) {
        const auto began = now;
        while (last_grant_to(address) < began && now < began + limit) {
            advance_time(key_decider::tick_time);
        }
        return last_grant_to(address);
    }
    /// `epoch`: of the leader that wrote the record; 0: an earlier version of the program.
    void record(const key_map& map, std::uint64_t epoch = 0) {
        ++revision;
        stored["own/keys/status"] = {"own/keys/status",
                                     epoch == 0 ? encode(map) : encode(key_record{map, epoch}),
                                     revision, revision, 0};
    }
    /// Records a new leader in the store; returns its epoch.
    std::uint64_t elect() {
        ++revision;
        stored["own/leader"] = {"own/leader", "", revision, revision, 0};
        return revision;
    }
    void take_copy() {
        copy_ = stored;
        copy_revision_ = revision;
    }
    /// The store comes back with the content of the copy, in a new era.
    void restore_copy() {
        const auto era = store_era_of(revision) + 1;
        const auto moved = [era](std::uint64_t at) {
            return (era << store_era_shift) + at - (store_era_of(at) << store_era_shift);
        };
        stored = copy_;
        for (auto& [key, item] : stored) {
            item.revision = moved(item.revision);
            item.created = moved(item.created);
        }
        revision = moved(copy_revision_);
        store_came_back = true;
    }

    boost::asio::io_context context;
    observe::decision_log log;
    boot_time now{std::chrono::hours(1)};
    router_core core;
    int changes = 0;
    std::map<std::string, store_item> stored;
    std::uint64_t revision = 100;
    int writes = 0;
    int lose_write_answers = 0;
    bool store_unavailable = false;  ///< Reads and writes have no effect and fail.
    bool store_came_back = false;    ///< Whether leaders know that the store came back older.
    bool delay_lists = false;
    std::vector<metadata_store::items_handler> delayed_lists;
    std::vector<received_order> orders;
    std::map<std::string, bool> silent;  ///< Targets that do not answer orders.
    /// Time from an order to its answer; orders whose answer takes longer than `call_time` time
    /// out.
    std::map<std::string, milliseconds> answer_times;
    static constexpr milliseconds call_time{800};
    /// Replaces the simulated targets if set; answers each order itself, at once or later.
    std::function<void(const received_order&)> on_order;
    key_decider decider;

    void answer_later(std::function<void()> answer) { answers_.push_back(std::move(answer)); }

private:
    void receive(received_order order) {
        order.sent_at = now;
        if (on_order) {
            on_order(order);
            return;
        }
        orders.push_back(order);
        const auto answer_time = answer_times[order.address];
        const bool answers = !silent[order.address] && answer_time <= call_time;
        answer_at(now + std::min(answer_time, call_time), [order, answers] {
            order.done(answers ? std::error_code() : std::make_error_code(std::errc::timed_out),
                       answers && !order.grant ? "handover-" + order.address : "");
        });
    }
    void answer_at(boot_time time, std::function<void()> answer) {
        if (time <= now) {
            answer_later(std::move(answer));
        } else {
            due_answers_.emplace(time, std::move(answer));
        }
    }
    // Answers are never delivered inside the call that caused them.
    void deliver() {
        const auto not_due = due_answers_.upper_bound(now);
        for (auto due = due_answers_.begin(); due != not_due; due = due_answers_.erase(due)) {
            answers_.push_back(due->second);
        }
        // Bounded, since a call that fails may be retried at once.
        for (int count = 0; count < 100 && !answers_.empty(); ++count) {
            const auto answer = std::move(answers_.front());
            answers_.pop_front();
            answer();
        }
    }

    std::deque<std::function<void()>> answers_;
    std::multimap<boot_time, std::function<void()>> due_answers_;
    std::map<std::string, store_item> copy_;
    std::uint64_t copy_revision_ = 0;
};

}  // namespace mimosavalve::gateway::testing
