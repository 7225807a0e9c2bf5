#include "mimosavalve/gateway/leader_placement.hpp"

#include <doctest/doctest.h>

#include "election_fixture.hpp"

using namespace mimosavalve;
using namespace mimosavalve::gateway;
using gateway::testing::election_router;
using gateway::testing::election_store;

namespace {

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

/// Records checks of the event loop with this lag for some seconds.
void lag_for(lag_history& history, milliseconds lag, boot_time& now, int seconds) {
    for (const auto end = now + std::chrono::seconds(seconds); now < end; now += milliseconds(50)) {
        record_lag(history, lag, now);
    }
}

}  // namespace

// Guards against a change of the election in fleets whose hosts are equal.
TEST_CASE("a candidate waits longer only where hosts differ [leader_placement]") {
    const auto delay = [](const placement_state& placement, double capacity) {
        return candidacy_delay(placement, {"h1", capacity, milliseconds(0)}, 7, boot_clock::now());
    };
    placement_state equal;
    record_lag(equal.lag, milliseconds(800), boot_clock::now());
    CHECK(delay(equal, 0.1) == milliseconds(0));
    CHECK(top_capacity_of(std::vector<double>{0.5, 0.5}) == 0);
    CHECK(top_capacity_of(std::vector<double>{0.1, 0.5, 0.1}) == 0.5);
    placement_state different;
    different.top_capacity = 0.5;
    CHECK(delay(different, 0.5) == milliseconds(0));
    CHECK(delay(different, 0.1) == milliseconds(320));
    record_lag(different.lag, milliseconds(100), boot_clock::now());
    CHECK(delay(different, 0.5) == milliseconds(0));
    record_lag(different.lag, milliseconds(1300), boot_clock::now());
    CHECK(delay(different, 0.5) == milliseconds(400));
    CHECK(delay(different, 0.1) == milliseconds(720));
}

// Guards against a router that counts as punctual because its event loop did not run at all.
TEST_CASE("a second in which the event loop was blocked counts as late [leader_placement]") {
    auto now = boot_clock::now();
    lag_history history;
    lag_for(history, milliseconds(0), now, 2);
    now += milliseconds(3500);
    record_lag(history, milliseconds(3500), now);
    CHECK(has_lagged(history, 3, milliseconds(1000)));
    lag_for(history, milliseconds(5), now, 4);
    CHECK(recent_lag(history) == milliseconds(5));
    CHECK_FALSE(has_lagged(history, 1, milliseconds(100)));
}

// Guards against leaders on small hosts, whose event loops are late.
TEST_CASE("the largest host is elected once capacities are known [leader_placement]") {
    boost::asio::io_context context;
    election_store store(context);
    std::vector<std::unique_ptr<election_router>> routers;
    std::vector<election_router*> running;
    for (std::uint64_t number = 0; number < 8; ++number) {
        routers.push_back(std::make_unique<election_router>(context, store,
                                                            "h" + std::to_string(number), number));
        routers.back()->core.settings.capacity = number == 5 ? 0.5 : 0.1;
        routers.back()->fleet.placement.top_capacity = 0.5;
        running.push_back(routers.back().get());
    }
    for (auto* router : running) {
        router->election.start();
    }
    run_for(context, running, milliseconds(700));
    CHECK(running[5]->terms == 1);
    // Without the largest host, another one is elected.
    running.erase(running.begin() + 5);
    routers[5]->fleet.stopping = true;
    store.end_all_leases();
    run_for(context, running, milliseconds(1200));
    CHECK(routers[5]->ended == 1);
    CHECK(running[0]->fleet.leader.host != "h5");
    CHECK(running[0]->fleet.leader.epoch != 0);
}

// Guards against leaders that stay on small or late hosts, and against a leadership that goes back
// and forth.
TEST_CASE("leadership is transferred to larger or punctual hosts [leader_placement]") {
    auto now = boot_clock::now();
    placement_state placement;
    placement.top_capacity = 0.5;
    transfer_conditions leader{0.1, now, true, false};
    std::vector<successor_candidate> followers{
        {"h1", 0.1, true, false}, {"h2", 0.5, false, false}, {"h3", 0.5, true, true}};
    const auto to = [&] {
        const auto planned = plan_transfer(placement, leader, followers, now);
        return planned ? planned->successor : "";
    };
    lag_for(placement.lag, milliseconds(0), now, 2);
    CHECK(to().empty());
    now += milliseconds(100);
    CHECK(to() == "h3");
    followers.push_back({"h4", 0.25, true, false});
    CHECK(to() == "h4");
    leader.store_responsive = false;
    CHECK(to().empty());
    leader = {0.5, now, true, false};
    lag_for(placement.lag, milliseconds(150), now, 9);
    followers.push_back({"h5", 0.5, true, false});
    CHECK(to().empty());
    lag_for(placement.lag, milliseconds(150), now, 2);
    CHECK(to() == "h5");
    leader.stopping = true;
    CHECK(to().empty());
    leader.stopping = false;
    placement.transferred_at = now - milliseconds(4900);
    CHECK(to().empty());
    placement.transferred_at = now - milliseconds(5000);
    CHECK(to() == "h5");
    placement.top_capacity = 0;
    CHECK(to().empty());
    placement.top_capacity = 0.5;
    lag_for(placement.lag, milliseconds(20), now, 2);
    CHECK(to().empty());
}

// Guards against an election that the successor loses, and against a fleet without a leader when
// the successor fails.
TEST_CASE("a named successor is elected, or another host in its place [leader_placement]") {
    boost::asio::io_context context;
    election_store store(context);
    std::vector<std::unique_ptr<election_router>> routers;
    std::vector<election_router*> running;
    for (std::uint64_t number = 0; number < 6; ++number) {
        routers.push_back(std::make_unique<election_router>(context, store,
                                                            "h" + std::to_string(number), number));
        running.push_back(routers.back().get());
    }
    running[0]->election.start();
    run_for(context, {running[0]}, milliseconds(300));
    REQUIRE(running[0]->terms == 1);
    for (std::size_t number = 1; number < running.size(); ++number) {
        running[number]->election.start();
    }
    run_for(context, running, milliseconds(100));
    const auto transfer = [&](election_router& from, const std::string& successor) {
        for (auto* router : running) {
            record_successor(router->fleet.placement, successor, from.fleet.leader.epoch,
                             router->core.now());
        }
        from.election.resign("transferred");
    };
    transfer(*running[0], "h3");
    run_for(context, running, milliseconds(700));
    CHECK(running[0]->ended == 1);
    CHECK(running[3]->terms == 1);
    CHECK(running[5]->fleet.leader.host == "h3");
    running[4]->fleet.stopping = true;
    transfer(*running[3], "h4");
    run_for(context, running, milliseconds(1200));
    CHECK(running[3]->ended == 1);
    CHECK(running[4]->terms == 0);
    CHECK(running[5]->fleet.leader.epoch > 0);
    int terms = 0;
    for (const auto* router : running) {
        terms += router->terms;
    }
    CHECK(terms == 3);
}

// Guards against callers of a router whose event loop is blocked, and against a fleet of which no
// router is ready.
TEST_CASE("a router with a late event loop is unready for 2 s in 20 s [leader_placement]") {
    auto now = boot_clock::now();
    placement_state placement;
    readiness state;
    const auto unready_ms = [&](milliseconds lag, milliseconds time) {
        int unready = 0;
        for (const auto end = now + time; now < end; now += milliseconds(50)) {
            record_lag(placement.lag, lag, now);
            record_check(state, placement, lag, now);
            unready += is_ready(state, now) ? 0 : 50;
        }
        return unready;
    };
    CHECK(unready_ms(milliseconds(300), milliseconds(5000)) == 0);
    placement.top_capacity = 0.5;
    CHECK(unready_ms(milliseconds(300), milliseconds(19000)) == 2000);
    CHECK(unready_ms(milliseconds(0), milliseconds(22000)) == 0);
    CHECK(unready_ms(milliseconds(240), milliseconds(5000)) == 0);
    CHECK(unready_ms(milliseconds(300), milliseconds(60000)) <= 6000);
    // It ends early once the loop is punctual.
    CHECK(unready_ms(milliseconds(0), milliseconds(25000)) <= 1000);
    unready_ms(milliseconds(300), milliseconds(1100));
    REQUIRE_FALSE(is_ready(state, now));
    const auto rest = unready_ms(milliseconds(20), milliseconds(5000));
    CHECK(rest >= 950);
    CHECK(rest <= 1000);
}
