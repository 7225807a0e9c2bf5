#include <doctest/doctest.h>
#include <fcntl.h>

#include <boost/asio/io_context.hpp>

#include "gateway/grant_transit.hpp"
#include "gateway/leader_lease.hpp"
#include "mimosavalve/core/error.hpp"

using namespace mimosavalve;
using namespace mimosavalve::gateway;
using std::chrono::seconds;

namespace {

const region_map two_regions{{"north-a", "north"}, {"south-a", "south"}};

/// Lease of the leader on "h1" whose record of routers has "h1" to "h3".
struct lease_fixture {
    lease_fixture() : log(open("/dev/null", O_WRONLY | O_CLOEXEC)), core(context, {}, log) {
        core.now = [this] { return now; };
        core.platform.store.read = [this](const std::string&, call_deadline,
                                          const metadata_store::item_handler& done) {
            done({}, {"routers", encode(stored), 1, 1, 0}, 1);
        };
        core.platform.store.write = [](const store_batch&, call_deadline,
                                       const metadata_store::number_handler& done) { done({}, 2); };
        core.settings.host = "h1";
        fleet.instance = 1;
        fleet.leading = true;
        fleet.leader.epoch = stored.epoch;
    }
    void tick() { lease.tick(now, lease_until); }
    void advance(milliseconds time) {
        for (const auto end = now + time; now < end;) {
            now += milliseconds(50);
            tick();
        }
    }
    /// The store is lost, and these routers confirm the leader.
    void confirm(const std::map<std::string, std::string>& domain_by_host) {
        fleet.store_responsive = false;
        for (const auto& [host, domain] : domain_by_host) {
            evidence[host] = {stored.instances.at(host).id, now, now, {}, std::nullopt, domain};
        }
    }

    boost::asio::io_context context;
    observe::decision_log log;
    boot_time now{seconds(1000)};
    boot_time lease_until = now + milliseconds(500);
    router_core core;
    fleet_state fleet;
    call_client calls{context};
    router_record stored{{{"h1", 1}, {"h2", 2}, {"h3", 3}}, 7};
    evidence_by_host evidence;
    leader_lease lease{core, fleet, calls, [this](boot_time) { return evidence; },
                       [this](boot_time) { return stored.instances; }};
};

}  // namespace

TEST_CASE("a term that routers have confirmed does not end when the store answers [leader_lease]") {
    lease_fixture leader;
    leader.lease.begin();
    leader.tick();
    leader.now += seconds(1);
    leader.fleet.store_responsive = false;
    leader.evidence["h1"] = {1, leader.now, leader.now, {}, std::nullopt};
    leader.evidence["h2"] = {2, leader.now, leader.now, {}, std::nullopt};
    leader.tick();
    const auto confirmed = leader.now + confirmation_time;
    REQUIRE(leader.lease.valid_until() == confirmed);
    leader.fleet.store_responsive = true;
    leader.tick();
    CHECK(leader.lease.valid_until() == confirmed);
}

// Guards against two holders of a key after the routers that had received the announcement of long
// holds were restarted during an outage of the store.
TEST_CASE(
    "a successor counts on long holds when the routers that would report them have restarted "
    "[leader_lease]") {
    lease_fixture leader;
    leader.lease.begin();
    leader.tick();
    leader.evidence["h1"] = {11, leader.now, {}, {}, std::nullopt};
    leader.evidence["h2"] = {12, leader.now, {}, {}, std::nullopt};
    leader.now += seconds(1);
    leader.tick();
    REQUIRE(leader.lease.inherited_end());
    CHECK(*leader.lease.inherited_end() >= leader.now - seconds(1) + max_hold_after_lease);
}

TEST_CASE(
    "a successor does not count on long holds once enough routers would have reported them "
    "[leader_lease]") {
    lease_fixture leader;
    leader.lease.begin();
    leader.tick();
    leader.evidence["h1"] = {11, leader.now, {}, {}, std::nullopt};
    leader.evidence["h2"] = {2, leader.now, {}, {}, std::nullopt};
    leader.tick();
    REQUIRE(leader.lease.inherited_end());
    CHECK(*leader.lease.inherited_end() >= leader.now + max_hold_after_lease);
    leader.evidence["h3"] = {3, leader.now, {}, {}, std::nullopt};
    leader.tick();
    CHECK(*leader.lease.inherited_end() < leader.now + seconds(4));
    // What the routers reported still counts after one of them has restarted.
    leader.evidence["h3"].instance = 13;
    leader.tick();
    CHECK(*leader.lease.inherited_end() < leader.now + seconds(4));
}

TEST_CASE("a report of long holds that arrives after the takeover is used [leader_lease]") {
    lease_fixture leader;
    leader.lease.begin();
    leader.tick();
    leader.evidence["h1"] = {11, leader.now, {}, {}, std::nullopt};
    leader.evidence["h2"] = {2, leader.now, {}, {}, std::nullopt};
    leader.tick();
    leader.now += seconds(1);
    leader.evidence["h3"] = {3, leader.now, {}, {}, leader.now};
    leader.tick();
    REQUIRE(leader.lease.inherited_end());
    CHECK(*leader.lease.inherited_end() >=
          leader.now + leader.core.settings.bounds.max_hold + confirmation_time);
}

// Guards against keys that are never served again after most routers are gone for good.
TEST_CASE("a successor takes over although most recorded routers are gone [leader_lease]") {
    lease_fixture leader;
    leader.stored.instances.emplace("h4", 4);
    leader.lease.begin();
    leader.evidence["h5"] = {5, leader.now, {}, {}, std::nullopt};
    leader.advance(max_hold_after_lease - seconds(1));
    CHECK_FALSE(leader.lease.inherited_end());
    leader.advance(seconds(2));
    REQUIRE(leader.lease.inherited_end());
    CHECK(*leader.lease.inherited_end() <= leader.now);
}

// Guards against two holders of a key: a leader that was suspended has announced itself to nobody.
TEST_CASE("a leader that was suspended waits again for silent routers [leader_lease]") {
    lease_fixture leader;
    leader.lease.begin();
    leader.tick();
    leader.now += seconds(30);
    leader.advance(seconds(4));
    CHECK_FALSE(leader.lease.inherited_end());
    leader.advance(seconds(2));
    CHECK(leader.lease.inherited_end());
}

// Guards against two holders of a key: the routers of one region may all be cut off from the store
// and from a successor, which waits for them no longer than this.
TEST_CASE(
    "no hold of a leader that one region confirms outlasts the wait of its successor "
    "[leader_lease]") {
    lease_fixture leader;
    leader.core.state.regions = two_regions;
    leader.lease.begin();
    leader.tick();
    const auto began = leader.now;
    auto last_hold_end = began;
    for (int step = 0; step < 400; ++step) {
        leader.now += milliseconds(50);
        leader.confirm({{"h1", "south-a"}, {"h2", "south-a"}});
        leader.fleet.stopping = step > 60;
        leader.evidence["h1"].long_holds_known_at = leader.now;
        leader.evidence["h2"].long_holds_known_at = leader.now;
        leader.tick();
        if (leader.now < leader.lease.valid_until()) {
            last_hold_end = std::max(
                {last_hold_end, hold_end(leader.now, milliseconds(2400)),
                 leader.lease.may_grant_long_holds() ? leader.lease.own_long_holds_end() : began});
        }
    }
    CHECK(last_hold_end > began + seconds(7));

    // It is elected as soon as the lease of the leader has ended, and hears of no router.
    lease_fixture successor;
    successor.now = leader.lease_until;
    successor.lease.begin();
    successor.advance(seconds(12));
    REQUIRE(successor.lease.inherited_end());
    CHECK(*successor.lease.inherited_end() >= last_hold_end);
}

TEST_CASE("a leader that all regions confirm continues without the store [leader_lease]") {
    lease_fixture leader;
    leader.core.state.regions = two_regions;
    leader.lease.begin();
    leader.tick();
    for (int step = 0; step < 1200; ++step) {
        leader.now += milliseconds(50);
        leader.confirm({{"h1", "south-a"}, {"h2", "north-a"}});
        leader.tick();
    }
    CHECK(leader.lease.valid_until() == leader.now + confirmation_time);
    // A region that a successor has reached confirms no more.
    leader.evidence.erase("h2");
    leader.confirm({{"h3", "south-a"}});
    leader.tick();
    leader.advance(confirmation_time);
    CHECK(leader.lease.valid_until() <= leader.now);
}

// Guards against two holders of a key when two leaders in a row end before inherited long holds do:
// the second one's routers do not know of the first one's holds.
TEST_CASE("a leader that counts on long holds leaves their end to its successor [leader_lease]") {
    lease_fixture leader;
    std::optional<router_record> written;
    leader.core.platform.store.write = [&](const store_batch& batch, call_deadline,
                                           const metadata_store::number_handler& done) {
        written = decode_router_record(batch.writes.front().value);
        done({}, 2);
    };
    router_instances restarted{{"h1", 11}, {"h2", 12}, {"h3", 13}};
    leader_lease lease{leader.core, leader.fleet, leader.calls,
                       [&](boot_time) { return leader.evidence; },
                       [&](boot_time) { return restarted; }};
    for (const auto& [host, instance] : restarted) {
        leader.evidence[host] = {instance.id, leader.now, {}, {}, std::nullopt};
    }
    lease.begin();
    for (int step = 0; step < 3; ++step) {
        lease.tick(leader.now, leader.lease_until);
    }
    REQUIRE(lease.inherited_end());
    const auto long_holds_end = *lease.inherited_end();
    REQUIRE(long_holds_end >= leader.now + max_hold_after_lease);
    REQUIRE(written);

    lease_fixture successor;
    successor.stored = *written;
    successor.evidence = leader.evidence;
    successor.lease.begin();
    successor.tick();
    successor.tick();
    REQUIRE(successor.lease.inherited_end());
    CHECK(*successor.lease.inherited_end() >= long_holds_end);

    // Once the holds have ended, the record has nothing of them.
    leader.now = long_holds_end + seconds(2);
    lease.tick(leader.now, leader.now + seconds(1));
    successor.stored = *written;
    successor.lease.begin();
    successor.tick();
    successor.tick();
    REQUIRE(successor.lease.inherited_end());
    CHECK(*successor.lease.inherited_end() < successor.now + seconds(4));
}

// Guards against two leaders that act at once: a successor would read the older record, whose
// routers may all follow it while those of the newer one still confirm the former leader.
TEST_CASE(
    "a write of an older record of routers that takes effect late changes nothing "
    "[leader_lease]") {
    lease_fixture leader;
    std::map<std::string, std::uint64_t> revisions{{"leader", 7}, {"routers", 10}};
    std::uint64_t revision = 10;
    const auto apply = [&](const store_batch& batch) {
        const bool holds = std::all_of(
            batch.conditions.begin(), batch.conditions.end(),
            [&](const auto& condition) { return revisions[condition.key] == condition.revision; });
        if (holds) {
            leader.stored = *decode_router_record(batch.writes.front().value);
            revisions["routers"] = ++revision;
        }
        return holds;
    };
    leader.core.platform.store.read = [&](const std::string&, call_deadline,
                                          const metadata_store::item_handler& done) {
        done({}, {"routers", encode(leader.stored), revisions["routers"], 1, 0}, revision);
    };
    std::optional<store_batch> delayed;
    leader.core.platform.store.write = [&](const store_batch& batch, call_deadline,
                                           const metadata_store::number_handler& done) {
        if (!delayed) {
            delayed = batch;
            done(make_error_code(errc::store_unavailable), 0);
        } else if (apply(batch)) {
            done({}, revision);
        } else {
            done(make_error_code(errc::store_conflict), 0);
        }
    };
    router_instances followers{{"h1", 1}, {"h2", 2}, {"h4", 4}};
    leader_lease lease{leader.core, leader.fleet, leader.calls,
                       [&](boot_time) { return leader.evidence; },
                       [&](boot_time) { return followers; }};
    leader.evidence["h1"] = {1, leader.now, {}, {}, std::nullopt};
    leader.evidence["h2"] = {2, leader.now, {}, {}, std::nullopt};
    lease.begin();
    const auto advance = [&] {
        for (int step = 0; step < 100; ++step) {
            leader.now += milliseconds(50);
            lease.tick(leader.now, leader.now + seconds(1));
        }
    };
    for (int step = 0; step < 100 && !delayed; ++step) {
        lease.tick(leader.now, leader.now + seconds(1));
    }
    REQUIRE(delayed);
    followers.emplace("h5", 5);
    advance();
    REQUIRE(leader.stored.instances == followers);
    CHECK_FALSE(apply(*delayed));
    CHECK(leader.stored.instances == followers);
    // If it takes effect before the next write, that one replaces it.
    delayed.reset();
    followers.erase("h4");
    for (int step = 0; step < 100 && !delayed; ++step) {
        leader.now += milliseconds(50);
        lease.tick(leader.now, leader.now + seconds(1));
    }
    REQUIRE(delayed);
    CHECK(apply(*delayed));
    followers.emplace("h6", 6);
    advance();
    CHECK(leader.stored.instances == followers);
}

TEST_CASE(
    "a continued term takes over only with the routers of the record that the store has lost "
    "[leader_lease]") {
    lease_fixture leader;
    leader.lease.begin();
    leader.tick();
    // The older record has only this router.
    leader.stored.instances = {{"h1", 1}};
    leader.fleet.leader.epoch += std::uint64_t{1} << store_era_shift;
    leader.lease.continue_term();
    leader.evidence["h1"] = {1, leader.now, {}, {}, std::nullopt};
    leader.tick();
    leader.tick();
    CHECK_FALSE(leader.lease.inherited_end());
    leader.evidence["h2"] = {2, leader.now, {}, {}, std::nullopt};
    leader.tick();
    CHECK(leader.lease.inherited_end());
}

TEST_CASE(
    "a term that is continued twice still waits for the routers of its last record "
    "[leader_lease]") {
    for (const bool loads_between : {false, true}) {
        CAPTURE(loads_between);
        lease_fixture leader;
        leader.lease.begin();
        leader.tick();
        leader.stored.instances = {{"h1", 1}};
        leader.evidence["h1"] = {1, leader.now, {}, {}, std::nullopt};
        leader.fleet.leader.epoch += std::uint64_t{1} << store_era_shift;
        leader.lease.continue_term();
        if (loads_between) {
            leader.tick();
        }
        leader.fleet.leader.epoch += std::uint64_t{1} << store_era_shift;
        leader.lease.continue_term();
        leader.tick();
        leader.tick();
        CHECK_FALSE(leader.lease.inherited_end());
    }
}

TEST_CASE(
    "a continued term waits for the routers of a record whose write got no answer [leader_lease]") {
    lease_fixture leader;
    leader.core.platform.store.write = [](const store_batch&, call_deadline,
                                          const metadata_store::number_handler& done) {
        done(make_error_code(errc::store_unavailable), 0);
    };
    leader_lease lease{leader.core, leader.fleet, leader.calls,
                       [&](boot_time) { return leader.evidence; },
                       [](boot_time) {
                           return router_instances{{"h2", 2}, {"h3", 3}, {"h4", 4}, {"h5", 5}};
                       }};
    leader.stored.instances = {{"h1", 1}};
    leader.evidence["h1"] = {1, leader.now, {}, {}, std::nullopt};
    lease.begin();
    for (int step = 0; step < 4; ++step) {
        lease.tick(leader.now, leader.lease_until);
    }
    REQUIRE(lease.inherited_end());
    leader.fleet.leader.epoch += std::uint64_t{1} << store_era_shift;
    lease.continue_term();
    lease.tick(leader.now, leader.lease_until);
    lease.tick(leader.now, leader.lease_until);
    CHECK_FALSE(lease.inherited_end());
}
