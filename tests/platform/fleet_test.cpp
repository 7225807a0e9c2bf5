// Tests of the control side over sockets: real router processes with stand-ins for the store and
// the targets.
#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>

#include "fleet_fixture.hpp"
#include "mimosavalve/gateway/key_map.hpp"
#include "wire_names.hpp"

using namespace mimosavalve;
using namespace mimosavalve::platform::testing;
using gateway::milliseconds;

namespace {

constexpr std::uint32_t last_key = gateway::key_count - 1;

void start_three_routers(fleet_fixture& fleet) {
    fleet.add_default_targets();
    fleet.put_config(3);
    for (const auto* host : {"h1", "h2", "h3"}) {
        fleet.start_router(host);
    }
    REQUIRE(fleet.run_until_serving());
}

/// Moves all keys to the target "k2".
void move_keys_from_k1(fleet_fixture& fleet) {
    auto& leaving = *fleet.targets.at("k1");
    leaving.leaving = true;
    fleet.write_store_entry(leaving);
    REQUIRE(fleet.run_until([&] {
        return fleet.targets.at("k2")->holds(0) && fleet.targets.at("k2")->holds(last_key);
    }));
}

/// Number of requests that are not served by their owner while they are sent for this time.
int count_unserved(fleet_fixture& fleet, milliseconds time) {
    int unserved = 0;
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
        for (const auto* host : {"h1", "h2", "h3"}) {
            unserved += fleet.request_and_wait(host, "/status/x", 0).status == 200 ? 0 : 1;
            unserved += fleet.request_and_wait(host, "/status/x", last_key).status == 200 ? 0 : 1;
        }
        fleet.run_for(milliseconds(50));
    }
    return unserved;
}

void set_access_of_all(fleet_fixture& fleet, store_access access) {
    for (const auto* host : {"h1", "h2", "h3"}) {
        fleet.store.set_access(host, access);
    }
}

std::string router_other_than(const std::string& leader) {
    return leader == "h1" ? "h2" : "h1";
}

}  // namespace

TEST_CASE("three routers serve keyed requests at the owners and run orders at most once [fleet]") {
    fleet_fixture fleet;
    start_three_routers(fleet);
    for (const auto* host : {"h1", "h2", "h3"}) {
        for (const std::uint32_t key : {0U, 20000U, 40000U, last_key}) {
            CHECK(fleet.request_and_wait(host, "/status/x", key).status == 200);
        }
        CHECK(fleet.request_and_wait(host, "/orders/x").status == 200);
        CHECK(fleet.request_and_wait(host, "/unknown/x").status == 404);
    }
    CHECK(fleet.history.violations.empty());
    CHECK(fleet.repeated_runs() == 0);
}

TEST_CASE("a change of a large configuration is read from the store by few routers [fleet]") {
    constexpr int routes = 1400;
    constexpr auto timeout = milliseconds(2000);
    constexpr int max_readers = 3;  // The leader and two others.
    const std::vector<std::string> hosts{"h1", "h2", "h3", "h4", "h5", "h6"};
    fleet_fixture fleet;
    fleet.add_default_targets();
    fleet.put_config(3);
    for (const auto& host : hosts) {
        fleet.start_router(host);
    }
    REQUIRE(fleet.run_until_serving());
    fleet.put_config(5, "orders", timeout, routes);
    const auto serves = [&](const std::string& host, const std::string& path) {
        return fleet.request_and_wait(host, path, 0).status == 200;
    };
    for (const auto& host : hosts) {
        REQUIRE(fleet.run_until([&] { return serves(host, "/added-1399/x"); }));
    }
    // A new leader counts more routers than there are for its first two seconds.
    fleet.run_for(milliseconds(3000));
    std::map<std::string, std::size_t> before;
    for (const auto& host : hosts) {
        before[host] = fleet.store.answered_bytes(host);
    }
    for (const unsigned version : {6U, 7U, 8U}) {
        fleet.put_config(version, "orders", timeout, routes + static_cast<int>(version));
        fleet.run_for(milliseconds(700));
    }
    int readers = 0;
    for (const auto& host : hosts) {
        CHECK(serves(host, "/added-1407/x"));
        readers += fleet.store.answered_bytes(host) - before[host] >= 100'000 ? 1 : 0;
    }
    CHECK(readers <= max_readers);
}

TEST_CASE("all routers together keep the limit that a target names in its answers [fleet]") {
    fleet_fixture fleet;
    start_three_routers(fleet);
    auto& limited = *fleet.targets.at("o1");
    limited.request_limit = "2";
    const auto send_for = [&](milliseconds time) {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            for (const auto* host : {"h1", "h2", "h3"}) {
                CHECK(fleet.request_and_wait(host, "/orders/x").status == 200);
            }
        }
    };
    send_for(milliseconds(1500));
    const auto before = limited.run_count();
    send_for(milliseconds(4000));
    CHECK(limited.run_count() - before <= 17);  // Half more than the limit, and five requests.
    limited.request_limit.clear();
    send_for(milliseconds(2000));
    const auto at_end = limited.run_count();
    send_for(milliseconds(2000));
    CHECK(limited.run_count() - at_end > 17);
}

TEST_CASE("a target that asks for a pause gets no request from that router until it ends [fleet]") {
    fleet_fixture fleet;
    start_three_routers(fleet);
    auto& paused = *fleet.targets.at("o1");
    const auto send_for = [&](milliseconds time) {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            for (const auto* host : {"h1", "h2", "h3"}) {
                CHECK(fleet.request_and_wait(host, "/orders/x").status == 200);
            }
        }
    };
    paused.refusal_pause = "3";
    send_for(milliseconds(2500));
    CHECK(paused.refusal_count >= 1);
    CHECK(paused.refusal_count <= 3);  // One of each router.
    paused.refusal_pause.clear();
    const auto before = paused.run_count();
    send_for(milliseconds(4000));
    CHECK(paused.run_count() > before);
}

TEST_CASE("a target that says in an answer that it leaves gets no more requests [fleet]") {
    fleet_fixture fleet;
    start_three_routers(fleet);
    auto& order_target = *fleet.targets.at("o1");
    auto& owner = *fleet.targets.at("k1");
    order_target.says_it_leaves = true;
    owner.says_it_leaves = true;
    const auto orders_before = order_target.run_count();
    const auto send_round = [&] {
        for (const auto* host : {"h1", "h2", "h3"}) {
            for (int number = 0; number < 4; ++number) {
                fleet.request_and_wait(host, "/orders/x");
            }
            fleet.request_and_wait(host, "/status/x", 0);
            fleet.request_and_wait(host, "/status/x", last_key);
        }
    };
    send_round();
    CHECK(order_target.run_count() - orders_before <= 3);  // One of each router.
    // The owner's keys move although the store does not say that it leaves.
    CHECK(fleet.run_until([&] {
        return fleet.targets.at("k2")->holds(0) && fleet.targets.at("k2")->holds(last_key);
    }));
    const auto look_ups = owner.run_count();
    send_round();
    CHECK(order_target.run_count() - orders_before <= 3);
    CHECK(owner.run_count() == look_ups);
    CHECK(fleet.request_and_wait("h1", "/status/x", 0).status == 200);
}

TEST_CASE("after the leader is killed another router becomes leader and keys stay served [fleet]") {
    fleet_fixture fleet;
    start_three_routers(fleet);
    const auto first_leader = fleet.leader();
    REQUIRE_FALSE(first_leader.empty());
    fleet.signal_router(first_leader, SIGKILL);
    REQUIRE(
        fleet.run_until([&] { return !fleet.leader().empty() && fleet.leader() != first_leader; }));
    fleet.run_for(std::chrono::seconds(4));
    CHECK(fleet.request_and_wait(router_other_than(first_leader), "/status/x", 0).status == 200);
    CHECK(fleet.request_and_wait(router_other_than(first_leader), "/status/x", last_key).status ==
          200);
    CHECK(fleet.history.violations.empty());
}

TEST_CASE("keys of a target that ended are served by another one [fleet]") {
    fleet_fixture fleet;
    start_three_routers(fleet);
    fleet.remove_target("k1");
    REQUIRE(fleet.run_until_serving());
    CHECK(fleet.targets.at("k2")->holds(0));
    CHECK(fleet.targets.at("k2")->holds(last_key));
    CHECK(fleet.history.violations.empty());
}

TEST_CASE("keys of a target that stops answering are served by another one [fleet]") {
    fleet_fixture fleet;
    start_three_routers(fleet);
    fleet.targets.at("k1")->silent = true;
    fleet.store.remove(std::string(platform::wire::target_prefix) + "k1");
    REQUIRE(fleet.run_until_serving());
    CHECK(fleet.targets.at("k2")->holds(0));
    CHECK(fleet.history.violations.empty());
}

// A target without a connection to the store restarted under another id at the same address, and
// accepted the renewals for its predecessor, which had the same fence.
TEST_CASE("a target that took the address of another one gets none of its grants [fleet]") {
    fleet_fixture fleet;
    start_three_routers(fleet);
    const bool was_held = fleet.targets.at("k1")->holds(0);
    const auto& successor = fleet.replace_without_store_update("k1", "k9");
    fleet.run_for(std::chrono::seconds(1));
    CHECK(was_held);
    CHECK_FALSE(successor.holds(0));
    CHECK(fleet.run_until([&] { return fleet.targets.at("k2")->holds(0); }));
    CHECK_FALSE(successor.holds(0));
    CHECK(fleet.history.violations.empty());
}

TEST_CASE("keys of a leaving target move while it still serves [fleet]") {
    fleet_fixture fleet;
    start_three_routers(fleet);
    // Runs until no hold that an earlier leader granted can be in force.
    fleet.run_for(std::chrono::seconds(4));
    auto& leaving = *fleet.targets.at("k1");
    leaving.leaving = true;
    fleet.write_store_entry(leaving);
    REQUIRE(fleet.run_until([&] {
        return fleet.targets.at("k2")->holds(0) && fleet.targets.at("k2")->holds(last_key);
    }));
    CHECK_FALSE(leaving.holds(0));
    CHECK_FALSE(leaving.holds(last_key));
    CHECK(fleet.run_until_serving());
    CHECK(fleet.history.violations.empty());
}

// The leader and most routers lost their connection to the store only. The leader continued with
// the confirmation of these routers, and its successor moved keys that the leader still renewed.
TEST_CASE("a leader refused by the store and its successor never grant a key twice [fleet]") {
    fleet_fixture fleet;
    start_three_routers(fleet);
    const auto first_leader = fleet.leader();
    const auto successor = router_other_than(first_leader);
    for (const auto* host : {"h1", "h2", "h3"}) {
        if (successor != host) {
            fleet.store.set_access(host, store_access::refused);
        }
    }
    REQUIRE(fleet.run_until([&] { return fleet.leader() == successor; }));
    auto& leaving = *fleet.targets.at("k1");
    leaving.leaving = true;
    fleet.write_store_entry(leaving);
    CHECK(fleet.run_until([&] { return fleet.targets.at("k2")->holds(0); }));
    for (const auto* host : {"h1", "h2", "h3"}) {
        // The announcement of the new leader also reaches routers that the store refuses. The
        // successor itself learns of its election by the store's answer or by its watch, in either
        // order, and logs `leader_known` only in the second case.
        const auto expected = successor == host
                                  ? std::string("\"event\":\"leader_began\"")
                                  : "\"event\":\"leader_known\",\"host\":\"" + successor;
        CHECK(fleet.run_until(
            [&] { return fleet.log_of(host).find(expected) != std::string::npos; }));
    }
    for (const auto* host : {"h1", "h2", "h3"}) {
        fleet.store.set_access(host, store_access::served);
    }
    CHECK(fleet.run_until_serving());
    CHECK(fleet.history.violations.empty());
}

TEST_CASE("requests are served while the store does not answer [fleet]") {
    fleet_fixture fleet;
    start_three_routers(fleet);
    for (const auto* host : {"h1", "h2", "h3"}) {
        fleet.store.set_access(host, store_access::unanswered);
    }
    fleet.run_for(std::chrono::seconds(6));
    for (const auto* host : {"h1", "h2", "h3"}) {
        CHECK(fleet.request_and_wait(host, "/status/x", 0).status == 200);
        CHECK(fleet.request_and_wait(host, "/orders/x").status == 200);
        fleet.store.set_access(host, store_access::served);
    }
    CHECK(fleet.run_until_serving());
    CHECK(fleet.history.violations.empty());
}

// Renewals of the leader's lease were abandoned after 350 ms, so that the leader stopped renewing
// the keys of all targets.
TEST_CASE("keys stay served while the store takes 400 ms for an answer [fleet]") {
    fleet_fixture fleet;
    start_three_routers(fleet);
    fleet.store.answer_delay = milliseconds(400);
    for (int second = 0; second < 8; ++second) {
        fleet.run_for(std::chrono::seconds(1));
        CHECK(fleet.request_and_wait("h1", "/status/x", 0).status == 200);
        CHECK(fleet.request_and_wait("h2", "/status/x", last_key).status == 200);
    }
    CHECK(fleet.history.violations.empty());
}

TEST_CASE("a small configuration comes into force in time while two leaders are lost [fleet]") {
    fleet_fixture fleet;
    fleet.add_default_targets();
    fleet.put_config(3);
    const std::vector<std::string> hosts{"h1", "h2", "h3", "h4", "h5", "h6"};
    for (const auto& host : hosts) {
        fleet.start_router(host);
    }
    REQUIRE(fleet.run_until_serving());
    fleet.run_for(milliseconds(2000));  // All routers follow the leader.
    const auto first = fleet.leader();
    fleet.signal_router(first, SIGSTOP);
    fleet.put_config(5);
    const auto changed_at = std::chrono::steady_clock::now();
    REQUIRE(fleet.run_until([&] { return !fleet.leader().empty() && fleet.leader() != first; }));
    const auto second = fleet.leader();
    fleet.signal_router(second, SIGSTOP);
    const auto has_config = [&](const std::string& host) {
        return host == first || host == second ||
               fleet.log_of(host).find("\"config_in_force\",\"version\":5") != std::string::npos;
    };
    CHECK(fleet.run_until([&] { return std::all_of(hosts.begin(), hosts.end(), has_config); }));
    constexpr milliseconds bound{3000};  // The users' bound on grown deployments.
    CHECK(std::chrono::steady_clock::now() - changed_at <= bound);
    fleet.signal_router(first, SIGCONT);
    fleet.signal_router(second, SIGCONT);
}

TEST_CASE("a configuration comes into force although the store discarded its history [fleet]") {
    fleet_fixture fleet;
    start_three_routers(fleet);
    fleet.add_target("n1", "orders-new", false);
    fleet.store.discard_history();
    fleet.put_config(9, "orders-new");
    REQUIRE(fleet.run_until([&] {
        return fleet.request_and_wait("h1", "/orders/x").body == "done by n1" &&
               fleet.request_and_wait("h2", "/orders/x").body == "done by n1" &&
               fleet.request_and_wait("h3", "/orders/x").body == "done by n1";
    }));
    fleet.put_config(8);  // An older version has no effect.
    fleet.run_for(std::chrono::seconds(2));
    CHECK(fleet.request_and_wait("h1", "/orders/x").body == "done by n1");
}

TEST_CASE("all targets are used when the store lists them in small pages [fleet]") {
    fleet_fixture fleet;
    fleet.store.max_page_items = 2;
    start_three_routers(fleet);
    REQUIRE(fleet.run_until([&] {
        fleet.request_and_wait("h1", "/orders/x");
        fleet.request_and_wait("h2", "/orders/x");
        return fleet.targets.at("o1")->run_count() > 0 && fleet.targets.at("o2")->run_count() > 0;
    }));
    CHECK(fleet.targets.at("k1")->run_count() > 0);
    CHECK(fleet.targets.at("k2")->run_count() > 0);
}

TEST_CASE("lost answers of writes and late grants never leave a key with two targets [fleet]") {
    fleet_fixture fleet;
    fleet.store.unanswered_writes = 2;
    start_three_routers(fleet);
    fleet.run_for(std::chrono::seconds(4));
    fleet.targets.at("k1")->grant_delay = milliseconds(1500);
    fleet.run_for(std::chrono::seconds(1));
    fleet.store.unanswered_writes = 1;
    auto& leaving = *fleet.targets.at("k1");
    leaving.leaving = true;
    fleet.write_store_entry(leaving);
    REQUIRE(fleet.run_until([&] {
        return fleet.targets.at("k2")->holds(0) && fleet.targets.at("k2")->holds(last_key);
    }));
    fleet.run_for(std::chrono::seconds(2));
    CHECK(fleet.history.violations.empty());
}

// Routers that did not share their findings would each let the request crash further targets.
TEST_CASE(
    "a request that crashes its targets is refused by all routers after three crashes [fleet]") {
    fleet_fixture fleet;
    for (const auto* id : {"o3", "o4", "o5", "o6", "o7", "o8"}) {
        fleet.add_target(id, "orders", false);
    }
    start_three_routers(fleet);
    for (auto& [id, target] : fleet.targets) {
        target->crash_path = "/orders/crash";
    }
    const auto crashed = [&] {
        return std::count_if(fleet.targets.begin(), fleet.targets.end(),
                             [](const auto& target) { return target.second->crashed; });
    };
    for (int round = 0; round < 4; ++round) {
        for (const auto* host : {"h1", "h2", "h3"}) {
            fleet.request_and_wait(host, "/orders/crash");
            // Further requests detect that the target has ended.
            for (int count = 0; count < 8; ++count) {
                fleet.request_and_wait("h1", "/orders/x");
            }
            fleet.run_for(milliseconds(500));
        }
    }
    CHECK(crashed() == 3);
    for (const auto* host : {"h1", "h2", "h3"}) {
        CHECK(fleet.request_and_wait(host, "/orders/crash").status == 503);
        const auto status = fleet.request_and_wait(host, "/orders/x").status;
        const auto log = fleet.log_of(host);
        constexpr std::size_t shown_bytes = 1500;
        CAPTURE(log.substr(log.size() - std::min(log.size(), shown_bytes)));
        CHECK(status == 200);
        CHECK(fleet.request_and_wait(host, "/status/x", 0).status == 200);
    }
}

TEST_CASE("a planned stop lets requests in flight finish [fleet]") {
    fleet_fixture fleet;
    start_three_routers(fleet);
    std::vector<std::shared_ptr<caller_outcome>> outcomes;
    for (int count = 0; count < 5; ++count) {
        outcomes.push_back(fleet.request("h2", "GET", "/status/x", 7));
        outcomes.push_back(fleet.request("h2", "POST", "/orders/x", 0));
    }
    fleet.run_for(milliseconds(15));
    fleet.signal_router("h2", SIGTERM);
    CHECK(fleet.run_until([&] { return fleet.has_ended("h2"); }));
    for (const auto& outcome : outcomes) {
        CHECK(outcome->status == 200);
    }
    CHECK(fleet.repeated_runs() == 0);
}

TEST_CASE("requests are served while the store comes back from an older copy [fleet]") {
    fleet_fixture fleet;
    start_three_routers(fleet);
    fleet.run_for(std::chrono::seconds(4));
    fleet.store.take_copy();
    fleet.add_target("o3", "orders", false);
    fleet.put_config(5);
    fleet.run_for(std::chrono::seconds(3));
    fleet.restore_store(std::chrono::seconds(1));
    const auto all_are_served = [&] {
        for (const auto* host : {"h1", "h2", "h3"}) {
            CHECK(fleet.request_and_wait(host, "/status/x", 0).status == 200);
            CHECK(fleet.request_and_wait(host, "/status/x", last_key).status == 200);
            CHECK(fleet.request_and_wait(host, "/orders/x").status == 200);
        }
    };
    all_are_served();
    fleet.run_for(std::chrono::seconds(1));
    fleet.put_config(5);
    for (auto& [id, target] : fleet.targets) {
        fleet.write_store_entry(*target);
    }
    for (int round = 0; round < 10; ++round) {
        all_are_served();
        fleet.run_for(milliseconds(400));
    }
    CHECK(fleet.history.violations.empty());
    CHECK(fleet.repeated_runs() == 0);
}

TEST_CASE("news is used after the store came back from an older copy [fleet]") {
    fleet_fixture fleet;
    start_three_routers(fleet);
    fleet.add_target("n1", "orders-new", false);
    fleet.store.take_copy();
    // Revisions rise, and are given out again.
    for (int count = 0; count < 200; ++count) {
        fleet.write_store_entry(*fleet.targets.at("o1"));
    }
    fleet.run_for(std::chrono::seconds(2));
    fleet.restore_store(std::chrono::seconds(1));
    fleet.run_for(std::chrono::seconds(1));
    auto& leaving = *fleet.targets.at("o2");
    leaving.leaving = true;
    fleet.write_store_entry(leaving);
    fleet.run_for(milliseconds(2500));
    const auto runs_before = leaving.run_count();
    for (int count = 0; count < 20; ++count) {
        for (const auto* host : {"h1", "h2", "h3"}) {
            CHECK(fleet.request_and_wait(host, "/orders/x").status == 200);
        }
    }
    CHECK(leaving.run_count() == runs_before);
    fleet.put_config(9, "orders-new");
    CHECK(fleet.run_until(
        [&] {
            return fleet.request_and_wait("h1", "/orders/x").body == "done by n1" &&
                   fleet.request_and_wait("h2", "/orders/x").body == "done by n1" &&
                   fleet.request_and_wait("h3", "/orders/x").body == "done by n1";
        },
        std::chrono::seconds(3)));
    CHECK(fleet.run_until_serving());
    CHECK(fleet.history.violations.empty());
}

// The stop time of the fixture is 6 s.
TEST_CASE("a stopping router serves what ends in time and answers what does not [fleet]") {
    fleet_fixture fleet;
    start_three_routers(fleet);
    fleet.put_config(4, "orders", milliseconds(9000));
    fleet.caller_deadline = milliseconds(9000);
    for (const auto* id : {"o1", "o2"}) {
        fleet.targets.at(id)->slow_path = "/orders/slow";
    }
    fleet.run_for(std::chrono::seconds(2));
    for (int count = 0; count < 8; ++count) {
        REQUIRE(fleet.request_and_wait("h2", "/orders/x").status == 200);
    }
    const auto slow = fleet.request("h2", "POST", "/orders/slow", 0);
    fleet.run_for(milliseconds(100));
    fleet.signal_router("h2", SIGTERM);
    const auto began = std::chrono::steady_clock::now();
    const auto run_to = [&](milliseconds time) {
        fleet.run_until([&] { return std::chrono::steady_clock::now() >= began + time; });
    };
    run_to(milliseconds(2000));
    CHECK(fleet.request_and_wait("h2", "/orders/x").status ==
          200);  // The time of this work is known.
    run_to(milliseconds(3000));
    CHECK(fleet.request_and_wait("h2", "/orders/x").status == 503);
    // The longest time until the answer to a status request is 2 s.
    CHECK(fleet.request_and_wait("h2", "/status/x", 7).status == 200);
    run_to(milliseconds(5200));
    CHECK(slow->status == 0);
    const auto runs = fleet.history.runs_by_request.size();
    CHECK(fleet.request_and_wait("h2", "/orders/x").status == 503);
    CHECK(fleet.history.runs_by_request.size() == runs);
    REQUIRE(fleet.run_until([&] { return fleet.has_ended("h2"); }));
    CHECK(std::chrono::steady_clock::now() < began + std::chrono::seconds(6));
    fleet.run_for(milliseconds(50));
    CHECK(slow->status == 502);
    CHECK(fleet.repeated_runs() == 0);
}

TEST_CASE(
    "keys stay served by their owners when the store comes back older while the leader lives "
    "[fleet]") {
    fleet_fixture fleet;
    start_three_routers(fleet);
    // Runs until no hold that an earlier leader granted can be in force.
    fleet.run_for(std::chrono::seconds(4));
    fleet.store.take_copy();
    move_keys_from_k1(fleet);
    const auto leader = fleet.leader();
    fleet.store.restore_copy();
    for (const auto& [id, target] : fleet.targets) {
        fleet.write_store_entry(*target);
    }
    CHECK(count_unserved(fleet, std::chrono::seconds(6)) == 0);
    CHECK(fleet.leader() == leader);
    CHECK(fleet.log_of(leader).find("term_continued") != std::string::npos);
    CHECK(fleet.history.violations.empty());
}

// The store is away for longer than the leader's lease: its routers confirm its term.
TEST_CASE("keys stay served by their owners when the store was away and comes back older [fleet]") {
    fleet_fixture fleet;
    start_three_routers(fleet);
    fleet.run_for(std::chrono::seconds(4));
    fleet.store.take_copy();
    move_keys_from_k1(fleet);
    const auto leader = fleet.leader();
    set_access_of_all(fleet, store_access::unanswered);
    CHECK(count_unserved(fleet, std::chrono::seconds(2)) == 0);
    fleet.store.restore_copy();
    for (const auto& [id, target] : fleet.targets) {
        fleet.write_store_entry(*target);
    }
    set_access_of_all(fleet, store_access::served);
    CHECK(count_unserved(fleet, std::chrono::seconds(6)) == 0);
    CHECK(fleet.leader() == leader);
    CHECK(fleet.log_of(leader).find("term_continued") != std::string::npos);
    CHECK(fleet.history.violations.empty());
}

// The copy has the division of the keys from before they moved.
TEST_CASE(
    "no key has two holders when the store comes back older while the leader is stopped "
    "[fleet]") {
    fleet_fixture fleet;
    start_three_routers(fleet);
    fleet.run_for(std::chrono::seconds(4));
    fleet.store.take_copy();
    move_keys_from_k1(fleet);
    const auto leader = fleet.leader();
    fleet.signal_router(leader, SIGSTOP);
    fleet.store.restore_copy();
    fleet.targets.at("k1")->leaving = false;
    for (const auto& [id, target] : fleet.targets) {
        fleet.write_store_entry(*target);
    }
    fleet.run_for(std::chrono::seconds(2));
    fleet.signal_router(leader, SIGCONT);
    fleet.run_for(std::chrono::seconds(5));
    CHECK(fleet.history.violations.empty());
    CHECK(fleet.run_until_serving());
    CHECK(fleet.history.violations.empty());
}
