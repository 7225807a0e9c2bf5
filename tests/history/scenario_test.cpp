#include <doctest/doctest.h>

#include "history/faults.hpp"

using namespace mimosavalve;
using std::chrono::milliseconds;
using test::simulation;

namespace {

constexpr milliseconds start_up{3000};
constexpr milliseconds max_loss_pause{2000};

test::sim_options mixed_targets(std::uint64_t seed) {
    test::sim_options options;
    options.seed = seed;
    options.fence_checking_targets = 3;
    return options;
}

std::string text_of(const std::vector<std::string>& lines) {
    std::string text;
    for (const auto& line : lines) {
        text += line + "\n";
    }
    return text;
}

void check_pause(const simulation& fleet, milliseconds limit) {
    const auto max_pause = fleet.max_pause();
    MESSAGE("longest pause " << max_pause.first.count() << " ms at " << max_pause.second);
    CHECK(max_pause.first <= limit);
    CHECK_MESSAGE(fleet.violations.empty(), text_of(fleet.violations));
}

}  // namespace

// The design page limits the time without service after a loss to 2 s.
TEST_CASE("the slots of a killed target are served again within 2 s [scenario]") {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        simulation fleet(mixed_targets(seed));
        fleet.run_for(start_up);
        fleet.start_measuring();
        fleet.kill_target(seed % 6);
        fleet.run_for(milliseconds(4000));
        check_pause(fleet, max_loss_pause);
    }
}

TEST_CASE("the slots of a frozen target are served again within 2 s [scenario]") {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        simulation fleet(mixed_targets(seed));
        fleet.run_for(start_up);
        fleet.start_measuring();
        fleet.freeze_target(seed % 6);
        fleet.run_for(milliseconds(4000));
        check_pause(fleet, max_loss_pause);
        fleet.unfreeze_target(seed % 6);
        fleet.run_for(milliseconds(2000));
        check_pause(fleet, max_loss_pause);
    }
}

// A new leader must collect the evidence and repeat the handovers within the same limit.
TEST_CASE("a target and the leader killed together pause service for at most 2 s [scenario]") {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        simulation fleet(mixed_targets(seed));
        fleet.run_for(start_up);
        fleet.start_measuring();
        fleet.kill_target(seed % 6);
        fleet.kill_host(*fleet.leader());
        fleet.run_for(milliseconds(4000));
        check_pause(fleet, max_loss_pause);
    }
}

TEST_CASE("the loss of a failure domain pauses service for at most 2 s [scenario]") {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        simulation fleet(mixed_targets(seed));
        fleet.run_for(start_up);
        fleet.start_measuring();
        for (std::size_t index = 0; index < 6; index += 2) {
            fleet.kill_host(index);
            fleet.kill_target(index);
        }
        fleet.run_for(milliseconds(4000));
        check_pause(fleet, max_loss_pause);
    }
}

// While the store is down, the confirmations of the voters alone extend the serving leases.
TEST_CASE("service continues during a store outage without a pause [scenario]") {
    simulation fleet(mixed_targets(1));
    fleet.run_for(start_up);
    fleet.start_measuring();
    fleet.store_up = false;
    fleet.run_for(milliseconds(10000));
    check_pause(fleet, milliseconds(300));
    fleet.store_up = true;
    fleet.run_for(milliseconds(5000));
    check_pause(fleet, milliseconds(300));
}

TEST_CASE("the loss of one host during a store outage does not interrupt service [scenario]") {
    simulation fleet(mixed_targets(2));
    fleet.run_for(start_up);
    fleet.store_up = false;
    fleet.run_for(milliseconds(3000));
    fleet.start_measuring();
    fleet.kill_host(*fleet.leader());
    fleet.run_for(milliseconds(5000));
    check_pause(fleet, milliseconds(300));
}

// The daemon keeps nothing on disk, so it must fetch state and configuration from its peers.
TEST_CASE("a router restarted during a store outage serves again [scenario]") {
    simulation fleet(mixed_targets(3));
    fleet.run_for(start_up);
    fleet.store_up = false;
    fleet.run_for(milliseconds(2000));
    fleet.kill_host(0);
    fleet.run_for(milliseconds(500));
    fleet.start_host(0);
    fleet.run_for(milliseconds(3000));
    REQUIRE(fleet.hosts[0].snapshot);
    const auto* view = router::find_shard(*fleet.hosts[0].snapshot, {"bagmati", 0});
    REQUIRE(view != nullptr);
    CHECK(view->serving_lease->until() > steady_time{});
    CHECK_MESSAGE(fleet.violations.empty(), text_of(fleet.violations));
}

TEST_CASE("a target that leaves as planned pauses its slots for at most 50 ms [scenario]") {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        auto options = mixed_targets(seed);
        options.fence_checking_targets = 6;
        simulation fleet(options);
        fleet.run_for(start_up);
        fleet.start_measuring();
        fleet.targets[seed % 6].leaving = true;
        fleet.run_for(milliseconds(3000));
        check_pause(fleet, milliseconds(50));
        const auto state = fleet.stored_state();
        for (const auto& assignment : state->assignments) {
            CHECK(assignment.owner != fleet.targets[seed % 6].id);
        }
    }
}

TEST_CASE("a planned stop of the leader causes no pause [scenario]") {
    simulation fleet(mixed_targets(4));
    fleet.run_for(start_up);
    fleet.start_measuring();
    const auto leader = *fleet.leader();
    fleet.hosts[leader].plane->start_shutdown(fleet.now());
    fleet.run_for(milliseconds(4000));
    CHECK(fleet.leader() != leader);
    CHECK_FALSE(fleet.stored_state()->voters.empty());
    CHECK(fleet.stored_state()->voters.size() == 5);
    check_pause(fleet, milliseconds(300));
}

// After the restart all instances are new, so no voter of the stored state exists any more.
TEST_CASE("a fleet whose routers have all restarted serves its shard again [scenario]") {
    simulation fleet(mixed_targets(5));
    fleet.run_for(start_up);
    for (std::size_t index = 0; index < fleet.hosts.size(); ++index) {
        fleet.kill_host(index);
    }
    fleet.run_for(milliseconds(1500));
    for (std::size_t index = 0; index < fleet.hosts.size(); ++index) {
        fleet.start_host(index);
    }
    fleet.run_for(milliseconds(10000));
    const auto since = fleet.now();
    fleet.run_for(milliseconds(1000));
    CHECK_MESSAGE(fleet.unserved_since(since).empty(), text_of(fleet.unserved_since(since)));
    CHECK_MESSAGE(fleet.violations.empty(), text_of(fleet.violations));
}

// The design page guarantees that a removed failure domain receives no new work after 3 s.
TEST_CASE("a removed failure domain loses its slots, voters and leaders within 3 s [scenario]") {
    for (const std::string domain : {"a", "b"}) {
        simulation fleet(mixed_targets(6));
        fleet.run_for(start_up);
        fleet.start_measuring();
        fleet.change_config([&](config::fleet_config& next) { next.removed_domains = {domain}; });
        fleet.run_for(milliseconds(3000));
        const auto state = fleet.stored_state();
        for (const auto& assignment : state->assignments) {
            CHECK(ownership::find_target(*state, assignment.owner)->failure_domain != domain);
            CHECK(assignment.previous_owner.empty());
        }
        for (const auto& voter : state->voters) {
            CHECK(voter.failure_domain != domain);
        }
        CHECK(fleet.hosts[*fleet.leader()].settings.failure_domain != domain);
        check_pause(fleet, milliseconds(1000));
        fleet.change_config([](config::fleet_config& next) { next.removed_domains.clear(); });
        fleet.run_for(milliseconds(6000));
        CHECK(fleet.stored_state()->voters.size() == 6);
        check_pause(fleet, milliseconds(1000));
    }
}

// An operator relies on an accepted configuration not being reverted.
TEST_CASE("a changed configuration is recorded with the shard and never reverted [scenario]") {
    simulation fleet(mixed_targets(7));
    fleet.run_for(start_up);
    for (std::uint64_t version = 2; version <= 5; ++version) {
        fleet.change_config([](config::fleet_config&) {});
        fleet.run_for(milliseconds(700));
        CHECK(fleet.stored_state()->config_version == version);
        for (const auto& host : fleet.hosts) {
            CHECK(host.snapshot->config->version == version);
        }
    }
    CHECK_MESSAGE(fleet.violations.empty(), text_of(fleet.violations));
}
