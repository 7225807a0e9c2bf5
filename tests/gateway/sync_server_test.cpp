#include "gateway/sync_server.hpp"

#include <doctest/doctest.h>

#include <set>

#include "registry_fixture.hpp"

using namespace mimosavalve::gateway;
using namespace mimosavalve::gateway::testing;

namespace {

constexpr int followers = 90;
constexpr std::size_t limit_bytes = 160U << 10U;

/// Leader with many followers, whose calls and replies the test passes on.
struct server_fixture : registry_fixture {
    server_fixture()
        : server(core, fleet,
                 {[](const auto&) {}, [](sync_reply&) {},
                  [this]() -> const std::string& { return config_text; }, [] { return false; }}) {
        core.now = [this] { return now; };
        core.defer = [](const std::function<void()>& step) { step(); };
        fleet.leading = true;
        fleet.leader.epoch = 1;
        server.begin();
    }

    void call(int number) {
        sync_request request;
        request.host = "r" + std::to_string(number);
        request.epoch = 1;
        request.registry_number = received[number];
        request.config_version = versions[number];
        request.store_lost = lost_store.contains(number);
        server.serve(encode(request), [this, number](const internal_answer& answer) {
            const auto reply = decode_sync_reply(answer.body);
            REQUIRE(reply);
            received[number] = reply->registry_number;
            if (!reply->config_text.empty()) {
                got_config.push_back(number);
            }
            ++replies;
            bytes += answer.body.size();
            in_transit.push_back(number);
        });
    }
    /// Each follower gets a first reply and then waits for a change.
    void begin_following() {
        for (int number = 0; number < followers; ++number) {
            call(number);
            call(number);
        }
        in_transit.clear();
        replies = 0;
        bytes = 0;
    }
    void change_targets(int version) {
        for (int number = 0; number < 200; ++number) {
            target_entry entry;
            entry.id = "t" + std::to_string(number);
            entry.started_unix_ms = static_cast<std::uint64_t>(version);
            core.state.registry.targets.insert_or_assign(entry.id, entry);
        }
        ++core.state.registry.revision;
        server.on_registry_change();
        server.on_state_change();
    }

    /// The leader gets a configuration; by default of the size of one with 1,200 routes.
    void change_config(std::uint64_t version, std::size_t size_bytes = 290U << 10U) {
        config_text.assign(size_bytes, 'x');
        core.state.config.version = version;
        server.on_state_change();
    }
    void advance(milliseconds time) {
        now += time;
        server.tick(now);
    }

    boot_time now = boot_clock::now();
    std::string config_text;
    std::map<int, std::uint64_t> versions;  ///< Configurations of the followers.
    std::set<int> lost_store;               ///< Followers that cannot reach the store.
    std::vector<int> got_config;            ///< Followers that were sent the configuration.
    fleet_state fleet;
    sync_server server;
    std::map<int, std::uint64_t> received;  ///< Numbers of the registries of the followers.
    std::vector<int> in_transit;            ///< Followers that have not called since their reply.
    int replies = 0;
    std::size_t bytes = 0;
};

}  // namespace

TEST_CASE("a leader does not fill its link with replies when its state changes [sync_server]") {
    server_fixture leader;
    leader.begin_following();
    leader.change_targets(1);
    CHECK(leader.replies > 0);
    CHECK(leader.bytes <= limit_bytes);
}

TEST_CASE("all followers get the newest state although few replies are in transit [sync_server]") {
    server_fixture leader;
    leader.begin_following();
    for (int version = 1; version <= 3; ++version) {
        leader.change_targets(version);
    }
    while (!leader.in_transit.empty()) {
        const auto number = leader.in_transit.front();
        leader.in_transit.erase(leader.in_transit.begin());
        leader.call(number);
    }
    for (const auto& [number, registry] : leader.received) {
        CHECK(registry == leader.received[0]);
    }
    CHECK(leader.received.size() == followers);
    CHECK(leader.replies < 2 * followers);
}

TEST_CASE("a follower that has vanished does not hold up the replies to others [sync_server]") {
    server_fixture leader;
    leader.begin_following();
    leader.change_targets(1);
    const auto replies_before = leader.replies;
    REQUIRE(replies_before < followers);
    leader.now += milliseconds(1000);
    leader.server.tick(leader.now);
    CHECK(leader.replies > replies_before);
}

// Guards against a leader whose link is full for seconds: 90 followers that read the configuration
// from the store got its text from the leader as well.
TEST_CASE("followers that read the configuration themselves are not sent it [sync_server]") {
    server_fixture leader;
    leader.begin_following();
    leader.change_config(2);
    leader.advance(milliseconds(100));
    CHECK(leader.replies == followers);
    for (int number = 0; number < followers; ++number) {
        leader.call(number);
    }
    leader.advance(milliseconds(150));
    CHECK(leader.replies == followers);  // None of the second calls is due yet.
    leader.advance(milliseconds(100));
    CHECK(leader.got_config.empty());
    CHECK(leader.bytes <= limit_bytes);
}

TEST_CASE("followers that stay behind are sent the configuration one by one [sync_server]") {
    server_fixture leader;
    leader.begin_following();
    leader.change_config(2, 20U << 10U);
    leader.advance(milliseconds(1300));
    leader.call(1);
    CHECK(leader.got_config == std::vector{1});
    leader.call(2);
    leader.advance(milliseconds(250));
    CHECK(leader.got_config == std::vector{1});
    leader.versions[1] = 2;
    leader.call(1);
    leader.call(2);
    CHECK(leader.got_config == std::vector{1, 2});
}

TEST_CASE("a follower that vanishes with a configuration does not hold up the next [sync_server]") {
    server_fixture leader;
    leader.begin_following();
    leader.change_config(2);
    leader.advance(milliseconds(1300));
    leader.call(1);
    REQUIRE(leader.got_config == std::vector{1});
    leader.advance(milliseconds(1000));
    leader.call(2);
    CHECK(leader.got_config == std::vector{1, 2});
}

TEST_CASE(
    "a follower that cannot reach the store is sent the configuration at once [sync_server]") {
    server_fixture leader;
    leader.begin_following();
    leader.lost_store = {7};
    leader.change_config(2);
    leader.advance(milliseconds(100));
    leader.call(7);
    CHECK(leader.got_config == std::vector{7});
}

TEST_CASE(
    "a follower that cannot reach the store does not wait for the configuration of another "
    "[sync_server]") {
    server_fixture leader;
    leader.begin_following();
    leader.change_config(2, 20U << 10U);
    leader.advance(milliseconds(1300));
    leader.call(1);  // It has been behind for too long, and gets the text.
    REQUIRE(leader.got_config == std::vector{1});
    leader.lost_store = {7};
    leader.call(7);
    CHECK(leader.got_config == std::vector{1, 7});
}
