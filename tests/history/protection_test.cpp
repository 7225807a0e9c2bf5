#include <doctest/doctest.h>

#include "history/faults.hpp"

using namespace mimosavalve;
using std::chrono::milliseconds;
using test::simulation;

// Each test brings the fleet to the moment at which one protecting step decides. Built with
// MV_DISABLED_PROTECTION set to the name in its title, the test fails.

namespace {

constexpr milliseconds start_up{3000};

/// Targets that check nothing: only the routers and the leader keep one owner per slot.
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

void check_unharmed(const simulation& fleet) {
    CHECK_MESSAGE(fleet.violations.empty(), text_of(fleet.violations));
}

}  // namespace

// A router that hears nothing of the move goes on sending to the old owner until its lease ends.
TEST_CASE("a router cut off before a move is waited for (IN_FORCE_WAIT) [protection]") {
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        simulation fleet(unchecked_targets(seed));
        fleet.run_for(start_up);
        const auto leader = *fleet.leader();
        fleet.hosts[leader == 1 ? 2 : 1].peers_cut = true;
        fleet.run_for(milliseconds(20 * seed));
        drain(fleet, {"t" + std::to_string(seed % 6)});
        fleet.run_for(milliseconds(3000));
        check_unharmed(fleet);
    }
}

// Requests in a target's socket buffer start as late as their Start-By allows.
TEST_CASE(
    "a request in a buffer at the time of a move never starts late (START_BY_WAIT) "
    "[protection]") {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        simulation fleet(unchecked_targets(seed));
        fleet.run_for(start_up);
        drain(fleet, {"t" + std::to_string(seed % 6)});
        fleet.run_for(milliseconds(2000));
        check_unharmed(fleet);
    }
}

// The paused leader still has a grant to give when it resumes, for slots that moved on since.
TEST_CASE("a leader that resumes after its leases gives no order (LEASE_CHECK) [protection]") {
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
        // The slots move on from wherever the paused leader was about to put them.
        for (std::size_t index = 0; index < 6; ++index) {
            const auto next = "t" + std::to_string(index);
            if (next != first) {
                drain(fleet, {first, next});
                fleet.run_for(milliseconds(700));
            }
        }
        fleet.resume_host(leader);
        fleet.run_for(milliseconds(2000));
        check_unharmed(fleet);
    }
}

// The leader dies right after the store took its write and before anybody else heard of it.
TEST_CASE("a successor keeps what its predecessor recorded last (EPOCH_CLAIM) [protection]") {
    for (int delay = 1; delay <= 24; ++delay) {
        simulation fleet(unchecked_targets(7));
        fleet.run_for(start_up);
        const auto leader = *fleet.leader();
        drain(fleet, {"t1"});
        fleet.run_for(milliseconds(delay));
        fleet.kill_host(leader);
        fleet.run_for(milliseconds(3000));
        CHECK(fleet.leader() != leader);
        check_unharmed(fleet);
    }
}
