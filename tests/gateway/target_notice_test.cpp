#include "mimosavalve/gateway/target_notice.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

#include "mimosavalve/gateway/target_table.hpp"

using namespace mimosavalve::gateway;

namespace {

constexpr auto target = "t1";
constexpr std::uint64_t instance = 7;

/// Routers that press a target which names a limit, and the leader that divides it among them. The
/// shares arrive 0.1 s after the leader has sent them.
struct limited_fleet {
    struct router {
        std::map<std::string, target_notice, std::less<>> notices;
        bool frozen = false;
        std::map<std::string, double> reply;  ///< In transit from the leader.
        boot_time reply_sent_at;
        bool has_reply = false;
        double sent = 0;  ///< Share that the present leader sent last.
        std::map<std::string, limit_report> reports;
    };

    explicit limited_fleet(int count) {
        for (int number = 0; number < count; ++number) {
            add("h" + std::to_string(number));
        }
    }
    void add(const std::string& host) { routers[host]; }
    void name_limit(double limit, bool is_named = true) {
        for (auto& [host, each] : routers) {
            if (!each.frozen) {
                auto& known = each.notices[target];
                known.started_unix_ms = instance;
                answer_notice notice;
                if (is_named) {
                    notice.request_limit = limit;
                }
                record_limit(known, notice, now, now);
            }
        }
    }
    void replace_leader() {
        limits.clear();
        term_began = now;
        for (auto& [host, each] : routers) {
            each.sent = 0;
            each.has_reply = false;
        }
    }
    /// All routers send whatever they may, every 10 ms; the leader evaluates every 100 ms.
    void run(milliseconds time) {
        for (const auto end = now + time; now < end; now += milliseconds(10)) {
            if ((now.time_since_epoch() % milliseconds(100)).count() == 0 && has_leader) {
                lead();
            }
            for (auto& [host, each] : routers) {
                auto found = each.notices.find(target);
                if (each.frozen || found == each.notices.end()) {
                    continue;
                }
                if (has_token(found->second, static_cast<std::uint32_t>(routers.size()), now)) {
                    take_token(found->second);
                    arrivals.push_back(now);
                }
            }
        }
    }
    void lead() {
        for (auto& [host, each] : routers) {
            if (each.frozen) {
                continue;
            }
            if (each.has_reply) {
                if (!each.reply.empty()) {
                    each.notices[target].started_unix_ms = instance;
                }
                apply_shares(each.notices, each.reply, each.reply_sent_at);
            }
            each.reports = reports_of(each.notices, now);
            for (const auto& [id, report] : each.reports) {
                record_report(limits, id, report, now);
            }
        }
        if (!limits.contains(target)) {
            return;
        }
        const auto limit = limits.at(target).request_limit;
        std::vector<limit_sharer> sharers;
        for (const auto& [host, each] : routers) {
            const auto report = each.reports.find(target);
            const double held = report == each.reports.end() ? 0 : report->second.held;
            sharers.push_back(
                {host, demand.contains(host) ? demand.at(host) : 1, std::max(held, each.sent)});
        }
        const bool may_raise = now - term_began >= limit_share_time;
        const auto shares = share_limit(limit, sharers, may_raise);
        for (const auto& sharer : sharers) {
            auto& each = routers.at(sharer.host);
            if (each.frozen) {
                continue;
            }
            each.reply.clear();
            if (limit == 0) {
                each.reply[target] = -1;
            } else if (may_raise || sharer.held > 0) {
                each.reply[target] = shares.at(sharer.host);
            }
            each.sent = each.reply.contains(target) ? std::max(each.reply.at(target), 0.0) : 0;
            each.reply_sent_at = now;
            each.has_reply = true;
        }
    }
    /// Largest number of requests in any 4 s since `from`.
    [[nodiscard]] std::size_t peak(boot_time from) const {
        std::size_t most = 0;
        for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
            if (*first >= from) {
                const auto last =
                    std::upper_bound(first, arrivals.end(), *first + milliseconds(4000));
                most = std::max(most, static_cast<std::size_t>(last - first));
            }
        }
        return most;
    }
    [[nodiscard]] std::size_t sent_since(boot_time from) const {
        return static_cast<std::size_t>(arrivals.end() -
                                        std::lower_bound(arrivals.begin(), arrivals.end(), from));
    }

    boot_time now{milliseconds(100000)};
    boot_time term_began{milliseconds(0)};
    bool has_leader = true;
    std::map<std::string, router> routers;
    std::map<std::string, double> demand;
    std::map<std::string, fleet_limit> limits;
    std::deque<boot_time> arrivals;
};

/// What the users allow in 4 s.
std::size_t allowed(double limit) {
    return static_cast<std::size_t>(1.5 * 4 * limit + 5);
}

}  // namespace

TEST_CASE("all routers together keep the limit that a target names [target_notice]") {
    for (const double limit : {0.5, 2.7, 5.0, 20.0}) {
        for (const int count : {1, 12, 90}) {
            limited_fleet fleet(count);
            fleet.name_limit(limit);
            const auto from = fleet.now;
            fleet.run(milliseconds(20000));
            CHECK(fleet.peak(from) <= allowed(limit));
            CHECK(fleet.sent_since(fleet.now - milliseconds(10000)) >= limit * 10 / 2);
        }
    }
}

TEST_CASE("a limit that sinks, rises or ends is followed [target_notice]") {
    limited_fleet fleet(12);
    fleet.name_limit(20);
    fleet.run(milliseconds(10000));
    fleet.name_limit(5);
    fleet.run(milliseconds(500));
    auto from = fleet.now;
    fleet.run(milliseconds(10000));
    CHECK(fleet.peak(from) <= allowed(5));
    fleet.name_limit(40);
    fleet.run(milliseconds(2000));
    from = fleet.now;
    fleet.run(milliseconds(4000));
    CHECK(fleet.sent_since(from) > 100);
    fleet.run(milliseconds(100));
    fleet.name_limit(0, false);
    fleet.run(milliseconds(1000));
    CHECK_FALSE(is_limited(fleet.routers.at("h1").notices.at(target), fleet.now));
}

TEST_CASE("the limit is kept while routers join, freeze and lose the leader [target_notice]") {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        limited_fleet fleet(12);
        fleet.name_limit(5);
        const auto from = fleet.now;
        for (int step = 0; step < 40; ++step) {
            const auto host = "h" + std::to_string(random() % 12);
            switch (random() % 6) {
                case 0:
                    fleet.add("j" + std::to_string(step));
                    break;
                case 1:
                    fleet.routers.at(host).frozen = !fleet.routers.at(host).frozen;
                    break;
                case 2:
                    fleet.has_leader = !fleet.has_leader;
                    break;
                case 3:
                    fleet.replace_leader();
                    break;
                default:
                    fleet.demand[host] = static_cast<double>(random() % 40);
            }
            fleet.run(milliseconds(200 + random() % 1500));
            fleet.name_limit(5);
        }
        CHECK(fleet.peak(from) <= allowed(5));
    }
}

TEST_CASE("an answer to an earlier request does not end a limit [target_notice]") {
    target_notice known;
    const boot_time now{milliseconds(100000)};
    answer_notice named;
    named.request_limit = 3;
    CHECK(record_limit(known, named, now - milliseconds(20), now));
    CHECK_FALSE(record_limit(known, {}, now - milliseconds(10), now + milliseconds(10)));
    CHECK(known.request_limit == 3);
    CHECK(record_limit(known, {}, now + milliseconds(10), now + milliseconds(20)));
    CHECK(known.request_limit == 0);
}

TEST_CASE("absurd limits are read as the nearest bound [target_notice]") {
    target_notice known;
    const boot_time now{milliseconds(100000)};
    answer_notice notice;
    notice.request_limit = 0;
    record_limit(known, notice, now, now);
    CHECK(known.request_limit == min_request_limit);
    notice.request_limit = 1e300;
    record_limit(known, notice, now, now);
    CHECK(known.request_limit == max_request_limit);
}

TEST_CASE("what a limit holds back goes to another target, or is refused at once [target_notice]") {
    routing_state state;
    state.config.services["orders"] = {"orders", 0, milliseconds(0), 0, false};
    const auto add = [&](const std::string& id) {
        target_entry entry;
        entry.id = id;
        entry.service = "orders";
        entry.slots = 4;
        entry.started_unix_ms = instance;
        state.registry.targets.emplace(id, entry);
    };
    add("t1");
    const boot_time now{milliseconds(100000)};
    update_targets(state, now);
    answer_notice notice;
    notice.request_limit = 1;
    record_limit(notice_of(state, *state.targets.at("t1")), notice, now, now);
    const route any;
    const choice_request request{&any, "orders", std::nullopt, {}};
    CHECK(choose_target(state, request, now).kind == choice_kind::held_back);
    add("t2");
    update_targets(state, now);
    const auto choice = choose_target(state, request, now);
    REQUIRE(choice.kind == choice_kind::target);
    CHECK(choice.target->entry.id == "t2");
}

namespace {

/// Two targets of one service, of which the first asked for a pause.
struct paused_target {
    paused_target() {
        state.config.services["orders"] = {"orders", 0, milliseconds(0), 0, false};
        for (const auto* id : {"t1", "t2"}) {
            target_entry entry;
            entry.id = id;
            entry.service = "orders";
            entry.slots = 4;
            entry.started_unix_ms = instance;
            state.registry.targets.emplace(id, entry);
        }
        update_targets(state, now);
        record_pause(notice_of(state, *state.targets.at("t1")), milliseconds(2000), now);
    }
    [[nodiscard]] target_choice choose(boot_time at, std::optional<std::uint32_t> key = {}) {
        return choose_target(state, {&any, "orders", key, {}}, at);
    }

    boot_time now{milliseconds(100000)};
    routing_state state;
    route any;
};

}  // namespace

TEST_CASE(
    "a target gets no request before the pause that it asked for has passed [target_notice]") {
    paused_target fixture;
    const auto& [now, state, any] = fixture;
    for (int number = 0; number < 8; ++number) {
        const auto choice = fixture.choose(now + milliseconds(number * 200));
        REQUIRE(choice.kind == choice_kind::target);
        CHECK(choice.target->entry.id == "t2");
    }
    CHECK_FALSE(is_still_eligible(state, *state.targets.at("t1"), {&any, "orders", {}, {}},
                                  now + milliseconds(1999)));
    fixture.state.registry.targets.erase("t2");
    update_targets(fixture.state, now);
    const auto held_back = fixture.choose(now + milliseconds(500));
    CHECK(held_back.kind == choice_kind::held_back);
    CHECK(held_back.expected_wait == milliseconds(1500));
    CHECK(fixture.choose(now + milliseconds(2000)).kind == choice_kind::target);
}

TEST_CASE(
    "an owner gets no request before the pause that it asked for has passed [target_notice]") {
    paused_target fixture;
    fixture.state.config.services["orders"].keyed = true;
    assign(fixture.state.keys["orders"], {0, key_count - 1, "t1", 1, false, 1, 0});
    const auto held_back = fixture.choose(fixture.now + milliseconds(500), 7);
    CHECK(held_back.kind == choice_kind::held_back);
    CHECK(held_back.expected_wait == milliseconds(1500));
    CHECK(fixture.choose(fixture.now + milliseconds(2000), 7).kind == choice_kind::target);
}

TEST_CASE("a shorter pause does not end a longer one, and a restart ends both [target_notice]") {
    paused_target fixture;
    auto& target = *fixture.state.targets.at("t1");
    auto& known = notice_of(fixture.state, target);
    CHECK_FALSE(record_pause(known, milliseconds(100), fixture.now));
    CHECK(is_paused(known, fixture.now + milliseconds(1999)));
    CHECK(record_pause(known, milliseconds(2500), fixture.now));
    CHECK(is_paused(known, fixture.now + milliseconds(2499)));
    target.entry.started_unix_ms = instance + 1;
    CHECK_FALSE(is_paused(notice_of(fixture.state, target), fixture.now));
}

TEST_CASE(
    "quotas at a target that wants no requests do not keep a request waiting [target_notice]") {
    paused_target fixture;
    fixture.state.concurrency_quotas = {{"t1", 6}};
    const auto choice = fixture.choose(fixture.now + milliseconds(500));
    REQUIRE(choice.kind == choice_kind::target);
    CHECK(choice.target->entry.id == "t2");
    record_send(*choice.target, fixture.now);
    CHECK(fixture.choose(fixture.now + milliseconds(500)).kind == choice_kind::wait_for_room);
    const auto later = fixture.choose(fixture.now + milliseconds(2000));
    REQUIRE(later.kind == choice_kind::target);
    CHECK(later.target->entry.id == "t1");
}
