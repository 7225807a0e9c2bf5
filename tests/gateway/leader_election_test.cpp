#include <doctest/doctest.h>

#include "election_fixture.hpp"
#include "mimosavalve/gateway/peer_messages.hpp"

using namespace mimosavalve;
using namespace mimosavalve::gateway;
using gateway::testing::election_router;
using gateway::testing::election_store;

namespace {

constexpr const char* leader_key = "own/leader";

/// Runs the routers for a time; each ticks as often as in the process.
void run_for(boost::asio::io_context& context, const std::vector<election_router*>& routers,
             milliseconds time) {
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
        for (auto* router : routers) {
            router->election.tick(router->core.now());
        }
        context.run_for(milliseconds(20));
    }
}

}  // namespace

TEST_CASE("a leader's item of an earlier era names no leader [leader_election]") {
    boost::asio::io_context context;
    election_store store(context);
    // The leader of the copy has ended, and its lease does not end in the store.
    store.put(leader_key, encode(leader_identity{"h9", "127.0.0.1:1", 9, 0, 0}));
    store.take_copy();
    store.restore_copy();
    election_router router(context, store, "h1", 1);
    router.election.start();
    run_for(context, {&router}, milliseconds(1500));
    CHECK(router.terms == 1);
    CHECK(router.fleet.leader.host == "h1");
    CHECK(router.fleet.leader.epoch == store.item_of(leader_key).revision);
    CHECK(store_era_of(router.fleet.leader.epoch) == 1);
}

TEST_CASE("routers follow the leader that replaced an item of an earlier era [leader_election]") {
    boost::asio::io_context context;
    election_store store(context);
    store.put(leader_key, encode(leader_identity{"h9", "127.0.0.1:1", 9, 0, 0}));
    store.take_copy();
    store.restore_copy();
    election_router first(context, store, "h1", 1);
    election_router second(context, store, "h2", 2);
    first.election.start();
    second.election.start();
    run_for(context, {&first, &second}, milliseconds(1500));
    CHECK(first.terms + second.terms == 1);
    CHECK(first.fleet.leader.epoch == second.fleet.leader.epoch);
    CHECK(first.fleet.leader.epoch == store.item_of(leader_key).revision);
}

TEST_CASE("an item of a leader that does not name its era is followed [leader_election]") {
    boost::asio::io_context context;
    election_store store(context);
    store.put(leader_key, encode(leader_identity{"h9", "127.0.0.1:1", 9, 0}));
    store.take_copy();
    store.restore_copy();
    election_router router(context, store, "h1", 1);
    router.election.start();
    run_for(context, {&router}, milliseconds(300));
    CHECK(router.terms == 0);
    CHECK(router.fleet.leader.host == "h9");
}

TEST_CASE(
    "a leader whose term is valid stays the leader when the store has lost its claim "
    "[leader_election]") {
    boost::asio::io_context context;
    election_store store(context);
    store.take_copy();
    election_router first(context, store, "h1", 1);
    first.election.start();
    run_for(context, {&first}, milliseconds(500));
    REQUIRE(first.terms == 1);
    election_router second(context, store, "h2", 2);
    second.election.start();
    run_for(context, {&first, &second}, milliseconds(200));
    const auto epoch = first.fleet.leader.epoch;
    store.restore_copy();
    run_for(context, {&first, &second}, milliseconds(1500));
    CHECK(first.terms == 1);
    CHECK(first.continued == 1);
    CHECK(first.ended == 0);
    CHECK(second.terms == 0);
    CHECK(first.fleet.leader.epoch > epoch);
    CHECK(second.fleet.leader.epoch == first.fleet.leader.epoch);
    CHECK(store.item_of(leader_key).revision == first.fleet.leader.epoch);
}

TEST_CASE("a leader whose term is valid replaces its item of an earlier era [leader_election]") {
    boost::asio::io_context context;
    election_store store(context);
    election_router first(context, store, "h1", 1);
    first.election.start();
    run_for(context, {&first}, milliseconds(500));
    REQUIRE(first.terms == 1);
    store.take_copy();
    const auto epoch = first.fleet.leader.epoch;
    store.restore_copy();
    run_for(context, {&first}, milliseconds(800));
    CHECK(first.continued == 1);
    CHECK(first.ended == 0);
    CHECK(first.fleet.leader.epoch > epoch);
    // The lease of the new claim is renewed.
    run_for(context, {&first}, milliseconds(1500));
    CHECK(first.ended == 0);
}

TEST_CASE("a leader whose term has ended begins a new one in a new era [leader_election]") {
    boost::asio::io_context context;
    election_store store(context);
    store.take_copy();
    election_router router(context, store, "h1", 1);
    router.election.start();
    run_for(context, {&router}, milliseconds(500));
    REQUIRE(router.terms == 1);
    store.restore_copy();
    router.core.now = [] { return boot_clock::now() + std::chrono::seconds(2); };
    run_for(context, {&router}, milliseconds(2500));
    CHECK(router.continued == 0);
    CHECK(router.ended == 1);
    CHECK(router.terms == 2);
}

TEST_CASE("a leader steps aside for one that was elected in the new era [leader_election]") {
    boost::asio::io_context context;
    election_store store(context);
    election_router router(context, store, "h1", 1);
    router.election.start();
    run_for(context, {&router}, milliseconds(500));
    REQUIRE(router.terms == 1);
    store.take_copy();
    store.restore_copy();
    store.put(leader_key, encode(leader_identity{"h9", "127.0.0.1:1", 9, 0, 1}));
    run_for(context, {&router}, milliseconds(800));
    CHECK(router.continued == 0);
    CHECK(router.ended == 1);
    CHECK(router.fleet.leader.host == "h9");
}

TEST_CASE("a leader whose lease has ended in the same era steps down [leader_election]") {
    boost::asio::io_context context;
    election_store store(context);
    election_router router(context, store, "h1", 1);
    router.election.start();
    run_for(context, {&router}, milliseconds(500));
    REQUIRE(router.terms == 1);
    store.end_all_leases();
    run_for(context, {&router}, milliseconds(450));
    CHECK(router.ended == 1);
    CHECK(router.continued == 0);
}
