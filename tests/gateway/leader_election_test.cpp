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
