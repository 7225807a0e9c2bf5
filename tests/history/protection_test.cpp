#include <doctest/doctest.h>

#include "history/faults.hpp"

using namespace mimosavalve;
using std::chrono::milliseconds;
using test::simulation;

// Each test brings the fleet to the moment at which one protection is needed. In a build with
// MV_DISABLED_PROTECTION set to the name in its title, the test fails.

namespace {

constexpr milliseconds start_up{3000};

/// Options with targets that check no fences, so that only the routers and the leader ensure one
/// owner per slot.
test::sim_options unchecked_targets(std::uint64_t seed) {
    test::sim_options options;
    options.seed = seed;
    options.fence_checking_targets = 0;
    return options;
}

void drain(simulation& fleet, std::vector<std::string> targets) {
    fleet.change_config([&](config::fleet_config& next) { next.drained_targets = targets; });
}

std::string text_of(const std::vector<std::string>& lines) {
    std::string text;
    for (const auto& line : lines) {
        text += line + "\n";
    }
    return text;
}

void check_no_violations(const simulation& fleet) {
    CHECK_MESSAGE(fleet.violations.empty(), text_of(fleet.violations));
}

}  // namespace

// A router that does not receive the new version sends requests to the previous owner until its
// lease ends.
TEST_CASE("a move waits for a router that was cut off before it (IN_FORCE_WAIT) [protection]") {
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        simulation fleet(unchecked_targets(seed));
        fleet.run_for(start_up);
        const auto leader = *fleet.leader();
        fleet.hosts[leader == 1 ? 2 : 1].peers_cut = true;
        fleet.run_for(milliseconds(20 * seed));
        drain(fleet, {"t" + std::to_string(seed % 6)});
        fleet.run_for(milliseconds(3000));
        check_no_violations(fleet);
    }
}

// Requests in a target's socket buffer may start as late as their Start-By allows, so the grant to
// the new owner must wait for that time.
TEST_CASE(
    "a request in a buffer at the time of a move never starts after the new owner has served "
    "(START_BY_WAIT) [protection]") {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        simulation fleet(unchecked_targets(seed));
        fleet.run_for(start_up);
        drain(fleet, {"t" + std::to_string(seed % 6)});
        fleet.run_for(milliseconds(2000));
        check_no_violations(fleet);
    }
}

// The paused leader has a grant left to send when it resumes, for slots that have moved on since.
TEST_CASE(
    "a leader that resumes after its leases have ended sends no grant (LEASE_CHECK) [protection]") {
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        simulation fleet(unchecked_targets(seed));
        fleet.run_for(start_up);
        const auto first = "t" + std::to_string(seed % 6);
        drain(fleet, {first});
        fleet.run_for(milliseconds(60 + 20 * seed));
        const auto leader = *fleet.leader();
        fleet.pause_host(leader);
        fleet.run_for(milliseconds(2500));
        REQUIRE(fleet.leader() != leader);
        // Moves the slots on, away from every target to which the paused leader may have assigned
        // them.
        for (std::size_t index = 0; index < 6; ++index) {
            const auto next = "t" + std::to_string(index);
            if (next != first) {
                drain(fleet, {first, next});
                fleet.run_for(milliseconds(700));
            }
        }
        fleet.resume_host(leader);
        fleet.run_for(milliseconds(2000));
        check_no_violations(fleet);
    }
}

// The leader is killed right after the store has accepted its write, before any other router has
// received the new state.
TEST_CASE(
    "a successor keeps the last state that its predecessor wrote (EPOCH_CLAIM) [protection]") {
    for (int delay = 1; delay <= 24; ++delay) {
        simulation fleet(unchecked_targets(7));
        fleet.run_for(start_up);
        const auto leader = *fleet.leader();
        drain(fleet, {"t1"});
        fleet.run_for(milliseconds(delay));
        fleet.kill_host(leader);
        fleet.run_for(milliseconds(3000));
        CHECK(fleet.leader() != leader);
        check_no_violations(fleet);
    }
}
