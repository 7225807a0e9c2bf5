#include "mimosavalve/control/in_force.hpp"

#include <doctest/doctest.h>

namespace control = mimosavalve::control;
namespace own = mimosavalve::ownership;
using mimosavalve::instance_id;
using mimosavalve::steady_time;
using std::chrono::milliseconds;

namespace {

const steady_time start{std::chrono::hours(1)};
const instance_id voter_1{"h1", 1};
const instance_id voter_2{"h2", 1};
const instance_id voter_3{"h3", 1};
const instance_id router{"r", 1};

own::shard_state state_of_three() {
    own::shard_state state;
    state.at = {1, 2};
    state.voters = {{voter_1, "a", ""}, {voter_2, "a", ""}, {voter_3, "b", ""}};
    state.store_weight = 2;  // A quorum is 3 of 5.
    return state;
}

}  // namespace

TEST_CASE("a version is in force only with a quorum of the voters and the store [in_force]") {
    const auto state = state_of_three();
    auto progress = control::start_progress({1, 2});
    CHECK_FALSE(control::is_in_force(progress, state, true, start));
    control::record_accepted(progress, voter_1, {});
    CHECK(control::is_in_force(progress, state, true, start));
    CHECK_FALSE(control::is_in_force(progress, state, false, start));
    control::record_accepted(progress, voter_1, {});
    control::record_accepted(progress, voter_2, {});
    CHECK_FALSE(control::is_in_force(progress, state, false, start));
    control::record_accepted(progress, {"h3", 2}, {});
    CHECK_FALSE(control::is_in_force(progress, state, false, start));
    control::record_accepted(progress, voter_3, {});
    CHECK(control::is_in_force(progress, state, false, start));
}

// Without this wait the router could still send requests to the previous owner.
TEST_CASE(
    "a version waits for a router with an older lease until it drains or the lease ends "
    "[in_force]") {
    const auto state = state_of_three();
    auto progress = control::start_progress({1, 2});
    const std::vector<control::lagging_router> lagging{{router, "", start + milliseconds(400)}};
    const std::vector<control::lagging_router> longer{{router, "", start + milliseconds(600)}};
    control::record_accepted(progress, voter_1, lagging);
    control::record_accepted(progress, voter_2, longer);
    CHECK_FALSE(control::is_in_force(progress, state, true, start + milliseconds(599)));
    CHECK(control::is_in_force(progress, state, true, start + milliseconds(600)));
    control::record_drained(progress, {"r", 2});
    CHECK_FALSE(control::is_in_force(progress, state, true, start));
    control::record_drained(progress, router);
    CHECK(control::is_in_force(progress, state, true, start));
}

TEST_CASE("acceptances of another version do not count [in_force]") {
    auto progress = control::start_progress({1, 1});
    control::record_accepted(progress, voter_1, {});
    CHECK_FALSE(control::is_in_force(progress, state_of_three(), true, start));
}
