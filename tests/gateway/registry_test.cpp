#include <doctest/doctest.h>

#include "gateway/internal_server.hpp"
#include "registry_fixture.hpp"

using namespace mimosavalve::gateway;
using namespace mimosavalve::gateway::testing;

namespace {

/// Router that reads the registry as the leader does.
struct leader_fixture : registry_fixture {
    leader_fixture() : reader(core, fleet, [this] { ++changes; }) {
        fleet.leading = true;
        run_every(context, milliseconds(50), life, [this] { reader.read_when_due(core.now()); });
    }

    fleet_state fleet;
    int changes = 0;
    registry_reader reader;
    lifetime life;
};

/// Router that follows a scripted leader.
struct follower_fixture : registry_fixture {
    follower_fixture()
        : leader(context, {boost::asio::ip::address_v4::loopback(), 0},
                 [this](const message_head&, const std::string& body,
                        internal_server::respond respond) {
                     const auto request = decode_sync_request(body);
                     REQUIRE(request);
                     requests.push_back(*request);
                     auto reply = answer(*request);
                     reply.epoch = request->epoch;
                     reply.number = requests.size();
                     run_after(context, reply_time, life,
                               [respond = std::move(respond), text = encode(reply)] {
                                   respond({200, "", text, {}});
                               });
                 }) {
        core.settings.host = "follower";
        const auto address = "127.0.0.1:" + std::to_string(leader.address().port());
        store.put("own/leader", encode(leader_identity{"leader", address, 1, 0}));
    }

    [[nodiscard]] static registry_update whole_registry(std::uint64_t revision) {
        registry_state registry;
        registry.revision = revision;
        target_entry entry;
        entry.id = "t1";
        entry.service = "orders";
        entry.address = "127.0.0.1:1";
        entry.started_unix_ms = 1;
        registry.targets.emplace("t1", entry);
        return whole_update(registry);
    }

    std::function<sync_reply(const sync_request&)> answer;
    milliseconds reply_time{1};
    std::vector<sync_request> requests;
    internal_server leader;
    call_client calls{context};
    lifetime life;
};

}  // namespace

TEST_CASE("the registry is read although its pages together take longer than one call [registry]") {
    leader_fixture router;
    for (int number = 2; number <= 8; ++number) {
        router.store.put("targets/t" + std::to_string(number), "ready");
    }
    router.store.page_items = 1;
    router.store.page_time = milliseconds(150);
    CHECK(router.run_until([&] { return router.is_used("t8"); }, milliseconds(4000)));
}

TEST_CASE("a change of one target does not take a listing of all targets [registry]") {
    leader_fixture router;
    for (int number = 2; number <= 8; ++number) {
        router.store.put("targets/t" + std::to_string(number), "ready");
    }
    router.store.page_items = 1;
    REQUIRE(router.run_until([&] { return router.is_used("t8"); }, milliseconds(2000)));
    const auto calls_before = router.store.registry_calls;
    router.store.put("targets/t1", "leaving");
    CHECK(router.run_until([&] { return !router.is_used("t1"); }, milliseconds(2000)));
    CHECK(router.store.registry_calls - calls_before <= 2);
}

TEST_CASE("one failed read does not keep a target that is gone [registry]") {
    leader_fixture router;
    REQUIRE(router.run_until([&] { return router.is_used("t1"); }, milliseconds(2000)));
    router.store.lost_registry_calls = 1;
    REQUIRE(router.run_until([&] { return router.store.lost_registry_calls == 0; },
                             milliseconds(2000)));
    router.store.put("targets/t1", "");
    CHECK(router.run_until([&] { return !router.is_used("t1"); }, milliseconds(2000)));
}

TEST_CASE(
    "a target that left the registry during an outage of the store is kept for a while "
    "[registry]") {
    leader_fixture router;
    REQUIRE(router.run_until([&] { return router.is_used("t1"); }, milliseconds(2000)));
    router.store.lost_registry_calls = 3;
    REQUIRE(router.run_until([&] { return router.store.lost_registry_calls == 0; },
                             milliseconds(6000)));
    router.store.put("targets/t1", "");
    router.run_for(milliseconds(1500));
    CHECK(router.is_used("t1"));
    CHECK(router.run_until([&] { return !router.is_used("t1"); }, milliseconds(5000)));
}

TEST_CASE(
    "a target whose end is the first news after an outage of the store is kept for a while "
    "[registry]") {
    leader_fixture router;
    REQUIRE(router.run_until([&] { return router.is_used("t1"); }, milliseconds(2000)));
    router.fleet.store_responsive = false;
    router.fleet.store_lost_at = router.core.now() - milliseconds(1000);
    router.store.put("targets/t1", "");
    router.run_for(milliseconds(1500));
    CHECK(router.is_used("t1"));
    CHECK(router.run_until([&] { return !router.is_used("t1"); }, milliseconds(5000)));
}

TEST_CASE(
    "a router learns that a target is leaving although the leader's replies are late and old "
    "[registry]") {
    follower_fixture router;
    const auto began = boot_clock::now();
    router.reply_time = milliseconds(800);
    router.answer = [&](const sync_request& request) {
        sync_reply reply;
        reply.registry_number = 1;
        if (request.registry_number != 1) {
            reply.registry = follower_fixture::whole_registry(11);
        }
        // The leader has not read the store since the beginning.
        reply.store_age_ms =
            static_cast<std::uint64_t>(-milliseconds_until(began, boot_clock::now()));
        return reply;
    };
    fleet_control control(router.core, router.calls);
    control.start();
    REQUIRE(router.run_until([&] { return router.is_used("t1"); }, milliseconds(2000)));
    router.store.put("targets/t1", "leaving");
    router.store.lost_registry_calls = 1;
    CHECK(router.run_until([&] { return !router.is_used("t1"); },
                           router.core.settings.bounds.leave_time));
}

TEST_CASE(
    "a router that has read a newer registry does not ask the leader for all of it again "
    "[registry]") {
    follower_fixture router;
    router.answer = [&](const sync_request& request) {
        sync_reply reply;
        reply.registry_number = 1;
        if (request.registry_number != 1) {
            reply.registry = follower_fixture::whole_registry(5);
        }
        reply.store_age_ms = 5000;
        return reply;
    };
    router.reply_time = milliseconds(100);
    fleet_control control(router.core, router.calls);
    control.start();
    router.run_for(milliseconds(3000));
    CHECK(router.core.state.registry.revision > 5);
    CHECK(router.requests.size() > 5);
    CHECK(std::count_if(router.requests.begin(), router.requests.end(),
                        [](const auto& request) { return request.registry_number == 0; }) <= 1);
}

TEST_CASE("a difference of the leader is applied to the leader's last registry [registry]") {
    follower_fixture router;
    bool leader_has_read = false;
    router.answer = [&](const sync_request& request) {
        sync_reply reply;
        reply.registry_number = leader_has_read ? 2 : 1;
        if (request.registry_number == 0) {
            reply.registry = follower_fixture::whole_registry(5);
            reply.registry_number = 1;
        } else if (request.registry_number == 1 && leader_has_read) {
            // In the leader's two registries there is no target t2.
            reply.registry = registry_update();
            reply.registry->revision = 99;
        }
        reply.store_age_ms = leader_has_read ? 0 : 5000;
        return reply;
    };
    router.store.put("targets/t2", "ready");
    router.reply_time = milliseconds(100);
    fleet_control control(router.core, router.calls);
    control.start();
    REQUIRE(router.run_until([&] { return router.is_used("t2"); }, milliseconds(4000)));
    leader_has_read = true;
    CHECK(router.run_until([&] { return !router.is_used("t2"); }, milliseconds(2000)));
}

TEST_CASE("a stopping router still learns that a target is leaving [registry]") {
    follower_fixture router;
    router.answer = [&](const sync_request&) {
        sync_reply reply;
        reply.registry_number = 1;
        reply.registry = follower_fixture::whole_registry(11);
        return reply;
    };
    fleet_control control(router.core, router.calls);
    control.start();
    REQUIRE(router.run_until([&] { return router.is_used("t1"); }, milliseconds(2000)));
    control.stop();
    router.store.put("targets/t1", "leaving");
    CHECK(router.run_until([&] { return !router.is_used("t1"); },
                           router.core.settings.bounds.leave_time));
}

TEST_CASE("all targets are not listed again and again after an outage of the store [registry]") {
    leader_fixture router;
    REQUIRE(router.run_until([&] { return router.is_used("t1"); }, milliseconds(2000)));
    router.fleet.store_responsive = false;
    router.fleet.store_lost_at = router.core.now() - milliseconds(1000);
    const auto calls_before = router.store.registry_calls;
    router.run_for(milliseconds(2000));
    CHECK(router.store.registry_calls - calls_before <= 5);
}

TEST_CASE("an older entry does not bring back a target that is leaving [registry]") {
    leader_fixture router;
    REQUIRE(router.run_until([&] { return router.is_used("t1"); }, milliseconds(2000)));
    router.store.take_copy();
    router.store.put("targets/t1", "leaving");
    REQUIRE(router.run_until([&] { return !router.is_used("t1"); }, milliseconds(2000)));
    router.store.restore_copy();
    CHECK_FALSE(router.run_until([&] { return router.is_used("t1"); }, milliseconds(4000)));
}

TEST_CASE("an older entry does not bring back a target that has gone [registry]") {
    leader_fixture router;
    router.store.put("targets/t2", "ready");
    REQUIRE(router.run_until([&] { return router.is_used("t1"); }, milliseconds(2000)));
    router.store.take_copy();
    router.store.put("targets/t1", "");
    REQUIRE(router.run_until([&] { return !router.is_used("t1"); }, milliseconds(2000)));
    router.store.restore_copy();
    CHECK_FALSE(router.run_until([&] { return router.is_used("t1"); }, milliseconds(4000)));
    router.store.put("targets/t1", "ready");
    CHECK(router.run_until([&] { return router.is_used("t1"); }, milliseconds(2000)));
}

TEST_CASE("targets that an older copy lacks are kept until they write again [registry]") {
    leader_fixture router;
    router.store.take_copy();
    router.store.put("targets/t2", "ready");
    router.store.put("targets/t3", "ready");
    REQUIRE(router.run_until([&] { return router.is_used("t3"); }, milliseconds(2000)));
    router.store.restore_copy();
    CHECK_FALSE(router.run_until([&] { return !router.is_used("t2") || !router.is_used("t3"); },
                                 milliseconds(1500)));
    router.store.put("targets/t2", "ready");
    CHECK(router.run_until([&] { return !router.is_used("t3"); }, milliseconds(5000)));
    CHECK(router.is_used("t2"));
}

TEST_CASE("a target that leaves after the store came back older gets no more requests [registry]") {
    leader_fixture router;
    REQUIRE(router.run_until([&] { return router.is_used("t1"); }, milliseconds(2000)));
    router.store.take_copy();
    for (int number = 2; number <= 8; ++number) {
        router.store.put("targets/t" + std::to_string(number), "ready");
    }
    REQUIRE(router.run_until([&] { return router.is_used("t8"); }, milliseconds(2000)));
    router.store.restore_copy();
    router.run_for(milliseconds(500));
    router.store.put("targets/t1", "leaving");
    CHECK(router.run_until([&] { return !router.is_used("t1"); },
                           router.core.settings.bounds.leave_time));
}

TEST_CASE("what a store that came back older lacks does not count as known [registry]") {
    leader_fixture router;
    REQUIRE(router.run_until([&] { return router.is_used("t1"); }, milliseconds(2000)));
    router.store.take_copy();
    const auto restored_at = boot_clock::now();
    router.store.restore_copy();
    router.run_for(milliseconds(1500));
    CHECK(router.core.state.registry_known_at < restored_at + milliseconds(100));
    CHECK(router.run_until(
        [&] { return router.core.state.registry_known_at > restored_at + milliseconds(2000); },
        milliseconds(4000)));
}

// The leader read that the target is leaving; the follower read the store after it came back.
TEST_CASE("what only the leader knew before the store came back older is used [registry]") {
    follower_fixture router;
    router.store.take_copy();
    router.store.restore_copy();
    bool is_leaving = false;
    router.answer = [&](const sync_request&) {
        sync_reply reply;
        reply.registry_number = 1;
        reply.registry = follower_fixture::whole_registry(5000);
        reply.registry->entries.front().leaving = is_leaving;
        reply.registry->entries.front().sequence = is_leaving ? 1000 : 0;
        reply.store_age_ms = 5000;
        return reply;
    };
    fleet_control control(router.core, router.calls);
    control.start();
    REQUIRE(router.run_until(
        [&] {
            return router.is_used("t1") && store_era_of(router.core.state.registry.revision) == 1;
        },
        milliseconds(4000)));
    is_leaving = true;
    CHECK(router.run_until([&] { return !router.is_used("t1"); }, milliseconds(2000)));
}

TEST_CASE("recorded owners from before the last moves do not replace newer ones [registry]") {
    follower_fixture router;
    const auto owned_by = [](const std::string& owner, std::uint64_t fence) {
        key_map map;
        assign(map, {0, key_count - 1, owner, fence, false, 1, 0});
        return map;
    };
    router.store.put("own/keys/status", encode(owned_by("t1", 10)));
    router.answer = [&](const sync_request& request) {
        sync_reply reply;
        reply.map_numbers["status"] = 1;
        if (!request.map_numbers.contains("status")) {
            reply.maps["status"] = whole_update(owned_by("t2", 20));
        }
        reply.store_age_ms = 5000;
        return reply;
    };
    router.reply_time = milliseconds(300);
    fleet_control control(router.core, router.calls);
    control.start();
    const auto owner = [&] {
        const auto map = router.core.state.keys.find("status");
        return map == router.core.state.keys.end() ? std::string()
                                                   : segment_of(map->second, 0).owner;
    };
    REQUIRE(router.run_until([&] { return owner() == "t2"; }, milliseconds(3000)));
    CHECK_FALSE(router.run_until([&] { return owner() != "t2"; }, milliseconds(4000)));
    router.store.put("own/keys/status", encode(owned_by("t3", 30)));
    CHECK(router.run_until([&] { return owner() == "t3"; }, milliseconds(4000)));
}
