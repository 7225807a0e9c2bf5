#include <doctest/doctest.h>

#include "history/simulation.hpp"

using namespace mimosavalve;
using std::chrono::milliseconds;
using test::simulation;

namespace {

std::string text_of(const std::vector<std::string>& lines) {
    std::string text;
    for (const auto& line : lines) {
        text += line + "\n";
    }
    return text;
}

}  // namespace

// A fleet must come up from an empty store without an operator.
TEST_CASE("routers create a shard, choose its voters and serve every slot [control_plane]") {
    test::sim_options options;
    options.fence_checking_targets = 3;
    simulation fleet(options);
    fleet.run_for(milliseconds(4000));
    const auto state = fleet.stored_state();
    REQUIRE(state.has_value());
    CHECK(state->voters.size() == 6);
    CHECK(state->store_weight == 3);
    CHECK(state->config_version == 1);
    CHECK(state->targets.size() == 6);
    CHECK(fleet.leader().has_value());
    for (const auto& assignment : state->assignments) {
        CHECK(assignment.previous_owner.empty());
        CHECK_FALSE(assignment.owner.empty());
    }
    const auto since = fleet.now();
    fleet.run_for(milliseconds(500));
    CHECK_MESSAGE(fleet.unserved_since(since).empty(), text_of(fleet.unserved_since(since)));
    CHECK_MESSAGE(fleet.violations.empty(), text_of(fleet.violations));
    for (const auto& host : fleet.hosts) {
        REQUIRE(host.snapshot);
        const auto* view = router::find_shard(*host.snapshot, {"bagmati", 0});
        REQUIRE(view != nullptr);
        CHECK(view->state->at == state->at);
    }
}

// Messages or writes that are repeated without end would use up the budget for control messages and
// store writes.
TEST_CASE("a fleet without changes sends only renewals and writes nothing [control_plane]") {
    simulation fleet({});
    fleet.run_for(milliseconds(6000));
    const auto before = fleet.stored_state()->at;
    const auto messages = fleet.messages;
    fleet.run_for(milliseconds(5000));
    CHECK(fleet.stored_state()->at == before);
    // 7 routers renew 10 times a second with 7 voters; each renewal has one reply.
    CHECK(fleet.messages - messages <= 5 * 10 * 7 * 7 * 2);
    MESSAGE("messages in 5 s: " << fleet.messages - messages);
}
