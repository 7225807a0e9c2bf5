// Random histories of one key_decider, its store, and targets that lose and delay orders and
// restart. RC_PARAMS "max_success=10000 seed=N" runs more of them.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "decider_fixture.hpp"

using namespace mimosavalve;
using namespace mimosavalve::gateway;
using gateway::testing::decider_fixture;
using gateway::testing::received_order;

namespace {

// Maximum factor by which a target's clock runs slower than the decider's.
constexpr double max_clock_slowdown = 1.02;
// Timeout of a call without an answer, and in a congested network.
constexpr milliseconds call_timeout{300};
constexpr milliseconds congested_call_timeout{800};
// Longest time for which the network may queue an order: 1.6 s beyond the timeout of its call.
constexpr std::int64_t max_queue_ms = 2400;

enum class target_mode {
    normal,
    silent,      ///< Receives no orders.
    no_answers,  ///< Orders take effect, but their answers are lost.
    late,        ///< Grants get no answer and take effect 2 s later; their holds begin at once.
};

struct target_hold {
    key_segment keys;
    boot_time end;
};

struct model_target {
    target_mode mode = target_mode::normal;
    std::uint64_t instance = 1;
    std::vector<target_hold> holds;
};

class model {
public:
    model() {
        fleet.on_order = [this](const received_order& order) { receive(order); };
        for (const auto* id : {"a", "b", "c", "d"}) {
            targets[id];
            fleet.add_target(id);
        }
        fleet.take_copy();
        const auto epoch = fleet.elect();
        fleet.lead(epoch);
    }

    void advance_time(milliseconds time) {
        for (const auto end = fleet.now + time; fleet.now < end;) {
            fleet.decider.set_inherited_end(inherited_end_ +
                                            fleet.decider.longest_transit(fleet.now));
            for (std::size_t at = 0; at < delayed_.size(); ++at) {
                if (delayed_[at].first <= fleet.now) {
                    const auto step = std::move(delayed_[at].second);
                    delayed_.erase(delayed_.begin() + static_cast<std::ptrdiff_t>(at--));
                    step();
                }
            }
            fleet.advance_time(key_decider::tick_time);
            check();
        }
    }
    /// Restarts a target under the same id: it has no fences and holds no keys.
    void restart(const std::string& id) {
        auto& target = targets.at(id);
        ++target.instance;
        target.holds.clear();
    }
    void add_entry(const std::string& id) { fleet.add_target(id, targets.at(id).instance); }
    /// Makes another router the leader: the former leader sends no more orders, but those in
    /// transit may still take effect.
    void change_leader() {
        fleet.decider.end();
        const auto epoch = fleet.elect();
        fleet.lead(epoch);
        inherit_holds();
    }
    /// Fills the queue of the network: orders arrive in the order in which they were sent, and only
    /// after this time.
    void congest(milliseconds time) { queue_until_ = std::max(queue_until_, fleet.now + time); }
    /// The store comes back older, and another router becomes the leader. It may know owners that
    /// the record does not have any more.
    void restore_store(bool knows_owners) {
        fleet.decider.end();
        fleet.restore_copy();
        fleet.store_unavailable = false;
        if (!knows_owners) {
            fleet.core.state.keys.clear();
        }
        const auto epoch = fleet.elect();
        fleet.lead(epoch);
        inherit_holds();
    }
    /// The store comes back older, and the leader is elected again at once.
    void restore_store_and_continue() {
        fleet.restore_copy();
        fleet.store_unavailable = false;
        const auto epoch = fleet.elect();
        fleet.decider.continue_term(
            {epoch, "own/leader", fleet.now + std::chrono::hours(1), fleet.store_came_back});
        inherit_holds();
    }
    void load(std::uint32_t first, std::uint32_t requests) {
        key_load counts;
        for (std::uint32_t key = first; key < first + 50; ++key) {
            counts.counts[key] = requests;
        }
        fleet.decider.add_loads({{"status", counts}});
    }

    decider_fixture fleet;
    std::map<std::string, model_target> targets;
    std::vector<std::string> violations;

private:
    /// Sets the end of the holds that earlier leaders granted until now.
    void inherit_holds() {
        inherited_end_ = fleet.now + key_decider::hold_bounds(fleet.core.settings.bounds).normal;
        fleet.decider.set_inherited_end(inherited_end_ + fleet.decider.longest_transit(fleet.now));
    }
    void receive(const received_order& order) {
        if (order.address.empty()) {
            // A new leader may have no address of a recorded owner.
            order.done(make_error_code(errc::target_unreachable), "");
            return;
        }
        if (fleet.now < queue_until_) {
            queue(order);
            return;
        }
        auto& target = targets.at(order.address);
        const auto mode = target.mode;
        const auto arrived = fleet.now;
        if (mode == target_mode::silent) {
            time_out(order);
            return;
        }
        if (mode == target_mode::late && order.grant) {
            delayed_.emplace_back(fleet.now + std::chrono::seconds(2),
                                  [this, order, arrived] { grant(order, arrived); });
            time_out(order);
            return;
        }
        const bool accepted = order.grant ? grant(order, arrived) : release(order);
        if (mode == target_mode::no_answers) {
            time_out(order);
            return;
        }
        fleet.answer_later([order, accepted] {
            order.done(accepted ? std::error_code() : make_error_code(errc::target_refused),
                       order.grant ? "" : "handover");
        });
    }
    /// Delivers a grant late, also after its call has timed out. A release needs another
    /// connection, which does not open in time.
    void queue(const received_order& order) {
        if (!order.grant) {
            delayed_.emplace_back(fleet.now + congested_call_timeout, [order] {
                order.done(make_error_code(errc::target_unreachable), "");
            });
            return;
        }
        auto ended = std::make_shared<bool>(false);
        delayed_.emplace_back(queue_until_, [this, order, ended] {
            const auto mode = targets.at(order.address).mode;
            if (mode == target_mode::silent) {
                return;
            }
            const bool accepted = grant(order, fleet.now);
            if (mode == target_mode::normal && !std::exchange(*ended, true)) {
                order.done(accepted ? std::error_code() : make_error_code(errc::target_refused),
                           "");
            }
        });
        delayed_.emplace_back(fleet.now + congested_call_timeout, [order, ended] {
            if (!std::exchange(*ended, true)) {
                order.done(std::make_error_code(std::errc::timed_out), "");
            }
        });
    }
    void time_out(const received_order& order) {
        delayed_.emplace_back(fleet.now + call_timeout, [order] {
            order.done(std::make_error_code(std::errc::timed_out), "");
        });
    }
    bool grant(const received_order& order, boot_time arrived) {
        auto& target = targets.at(order.address);
        const bool has_higher_fence =
            std::any_of(target.holds.begin(), target.holds.end(), [&](const auto& held) {
                return overlap(held.keys, order.keys) && held.keys.fence > order.keys.fence;
            });
        if (has_higher_fence) {
            return false;
        }
        const auto hold = std::chrono::duration_cast<milliseconds>(order.hold * max_clock_slowdown);
        std::erase_if(target.holds, [&](const auto& held) {
            return held.keys.first >= order.keys.first && held.keys.last <= order.keys.last;
        });
        if (arrived + hold > fleet.now) {
            target.holds.push_back({order.keys, arrived + hold});
        }
        return true;
    }
    bool release(const received_order& order) {
        auto& target = targets.at(order.address);
        std::vector<target_hold> rest;
        for (const auto& held : target.holds) {
            if (!overlap(held.keys, order.keys)) {
                rest.push_back(held);
                continue;
            }
            if (held.keys.first < order.keys.first) {
                rest.push_back(held);
                rest.back().keys.last = order.keys.first - 1;
            }
            if (held.keys.last > order.keys.last) {
                rest.push_back(held);
                rest.back().keys.first = order.keys.last + 1;
            }
        }
        target.holds = std::move(rest);
        return true;
    }
    static bool overlap(const key_segment& one, const key_segment& other) {
        return one.first <= other.last && other.first <= one.last;
    }
    /// Records a violation for each key that two targets hold.
    void check() {
        for (auto& [id, target] : targets) {
            std::erase_if(target.holds, [&](const auto& held) { return held.end <= fleet.now; });
        }
        for (const auto& [id, target] : targets) {
            for (const auto& held : target.holds) {
                for (const auto& [other_id, other] : targets) {
                    if (other_id <= id) {
                        continue;
                    }
                    for (const auto& other_held : other.holds) {
                        if (overlap(held.keys, other_held.keys)) {
                            auto text = "key " + std::to_string(std::max(held.keys.first,
                                                                         other_held.keys.first));
                            text.append(" is held by ").append(id).append(" and ");
                            violations.push_back(text.append(other_id));
                        }
                    }
                }
            }
        }
    }

    std::vector<std::pair<boot_time, std::function<void()>>> delayed_;
    boot_time inherited_end_;
    boot_time queue_until_;
};

void run_step(model& history) {
    const auto id = *rc::gen::element<std::string>("a", "b", "c", "d");
    switch (*rc::gen::inRange(0, 17)) {
        case 0:
        case 1:
            history.targets.at(id).mode =
                *rc::gen::element(target_mode::normal, target_mode::silent, target_mode::no_answers,
                                  target_mode::late);
            break;
        case 2:
            history.targets.at(id).mode = target_mode::normal;
            break;
        case 3:
            history.fleet.remove_target(id);  // It has no registry entry, but still serves.
            break;
        case 4:
            history.add_entry(id);
            break;
        case 5:
            history.restart(id);
            history.add_entry(id);
            break;
        case 6:
            if (history.fleet.core.state.registry.targets.contains(id)) {
                history.fleet.core.state.registry.targets[id].leaving = true;
                update_targets(history.fleet.core.state, history.fleet.now);
            }
            break;
        case 7:
            history.change_leader();
            break;
        case 8:
            history.fleet.lose_write_answers = 1;
            break;
        case 10:
            history.fleet.take_copy();
            break;
        case 11:
            history.restore_store(*rc::gen::arbitrary<bool>());
            break;
        case 12:
            history.restore_store_and_continue();
            break;
        case 9: {
            const bool lost = !history.fleet.store_unavailable;
            history.fleet.store_unavailable = lost;
            history.fleet.decider.set_store_unavailable(lost);
            break;
        }
        case 13:
        case 14:
            history.congest(milliseconds(*rc::gen::inRange<std::int64_t>(0, max_queue_ms + 1)));
            history.advance_time(milliseconds(*rc::gen::inRange(0, 700)));
            history.fleet.remove_target(id);
            break;
        default:
            history.load(*rc::gen::inRange(0U, key_count - 50), *rc::gen::inRange(1U, 40U));
    }
    history.advance_time(milliseconds(*rc::gen::inRange(50, 1500)));
}

}  // namespace

TEST_CASE("no key has two holders in random histories of faults [decider][model]") {
    CHECK(rc::check([] {
        model history;
        history.advance_time(std::chrono::seconds(1));
        const auto steps = *rc::gen::inRange(5, 25);
        for (int step = 0; step < steps; ++step) {
            run_step(history);
            if (!history.violations.empty()) {
                RC_FAIL(history.violations.front());
            }
        }
    }));
}

TEST_CASE(
    "all keys have an owner again after the faults of a history have ended [decider][model]") {
    CHECK(rc::check([] {
        model history;
        history.advance_time(std::chrono::seconds(1));
        const auto steps = *rc::gen::inRange(5, 15);
        for (int step = 0; step < steps; ++step) {
            run_step(history);
        }
        history.fleet.store_unavailable = false;
        history.fleet.decider.set_store_unavailable(false);
        for (auto& [id, target] : history.targets) {
            target.mode = target_mode::normal;
            history.restart(id);
            history.add_entry(id);
        }
        history.advance_time(std::chrono::seconds(15));
        RC_ASSERT(history.violations.empty());
        std::size_t held = 0;
        for (const auto& [id, target] : history.targets) {
            for (const auto& hold : target.holds) {
                held += hold.keys.last - hold.keys.first + 1;
            }
        }
        RC_ASSERT(held >= key_count);
    }));
}
