#include "mimosavalve/control/loss_detector.hpp"

#include <doctest/doctest.h>

namespace control = mimosavalve::control;
namespace own = mimosavalve::ownership;
using mimosavalve::steady_time;
using std::chrono::milliseconds;

namespace {

const steady_time start{std::chrono::hours(1)};
const control::timing intervals;

own::target target_in(const std::string& id, const std::string& domain) {
    own::target target;
    target.id = id;
    target.failure_domain = domain;
    return target;
}

control::target_observation failing(const std::string& target, const std::string& router,
                                    const std::string& domain, milliseconds since) {
    control::target_observation observation;
    observation.target = target;
    observation.router = {router, 1};
    observation.failure_domain = domain;
    observation.received = start;
    observation.failing_since = start + since;
    return observation;
}

const std::string other_domain = "b";

control::target_observation healthy(const std::string& target, const std::string& router,
                                    milliseconds at) {
    control::target_observation observation;
    observation.target = target;
    observation.router = {router, 1};
    observation.failure_domain = other_domain;
    observation.received = start + at;
    observation.last_success = start + at;
    return observation;
}

}  // namespace

TEST_CASE(
    "failures at two routers, one of another failure domain, suffice after 300 ms "
    "[loss_detector]") {
    const auto target = target_in("t", "a");
    control::loss_detector detector;
    control::record_observation(detector, healthy("t", "r3", milliseconds(-100)));
    control::record_observation(detector, failing("t", "r1", "a", milliseconds(0)));
    control::record_observation(detector, failing("t", "r2", "b", milliseconds(0)));
    CHECK_FALSE(control::has_loss_evidence(detector, target, start + milliseconds(299), intervals));
    CHECK(control::has_loss_evidence(detector, target, start + milliseconds(300), intervals));
}

// Routers of a failure domain that is cut off from the others must not have its targets declared
// lost.
TEST_CASE("reports from inside the target's failure domain alone do not suffice [loss_detector]") {
    const auto target = target_in("t", "a");
    control::loss_detector detector;
    control::record_observation(detector, healthy("t", "r3", milliseconds(-100)));
    control::record_observation(detector, failing("t", "r1", "a", milliseconds(0)));
    control::record_observation(detector, failing("t", "r2", "a", milliseconds(0)));
    CHECK_FALSE(control::has_loss_evidence(detector, target, start + milliseconds(500), intervals));
}

TEST_CASE("failures at one router suffice when no other router tried [loss_detector]") {
    const auto target = target_in("t", "a");
    control::loss_detector detector;
    control::record_observation(detector, failing("t", "r1", "a", milliseconds(0)));
    CHECK(control::has_loss_evidence(detector, target, start + milliseconds(300), intervals));
    control::record_observation(detector, healthy("t", "r2", milliseconds(0)));
    CHECK_FALSE(control::has_loss_evidence(detector, target, start + milliseconds(400), intervals));
}

TEST_CASE("a success at any router restarts the time of failures [loss_detector]") {
    const auto target = target_in("t", "a");
    control::loss_detector detector;
    control::record_observation(detector, failing("t", "r1", "a", milliseconds(0)));
    control::record_observation(detector, failing("t", "r2", "b", milliseconds(0)));
    control::record_observation(detector, healthy("t", "r3", milliseconds(200)));
    CHECK_FALSE(control::has_loss_evidence(detector, target, start + milliseconds(499), intervals));
    CHECK(control::has_loss_evidence(detector, target, start + milliseconds(500), intervals));
}

// It is more likely that the observers are cut off than that two domains are lost at once.
TEST_CASE("a loss in several failure domains is declared only after 2 s [loss_detector]") {
    const std::vector<own::target> targets{target_in("t1", "a"), target_in("t2", "b")};
    control::loss_detector detector;
    control::record_observation(detector, failing("t1", "r1", "c", milliseconds(0)));
    control::record_observation(detector, failing("t2", "r1", "c", milliseconds(0)));
    const auto first_check = start + milliseconds(400);
    CHECK(control::lost_targets(detector, targets, first_check, intervals).empty());
    CHECK(control::lost_targets(detector, targets, first_check + milliseconds(1999), intervals)
              .empty());
    CHECK(control::lost_targets(detector, targets, first_check + milliseconds(2000), intervals)
              .size() == 2);
}

TEST_CASE("the loss of one whole failure domain is declared without that delay [loss_detector]") {
    const std::vector<own::target> targets{target_in("t1", "a"), target_in("t2", "a"),
                                           target_in("t3", "b")};
    control::loss_detector detector;
    control::record_observation(detector, failing("t1", "r1", "c", milliseconds(0)));
    control::record_observation(detector, failing("t2", "r1", "c", milliseconds(0)));
    CHECK(control::lost_targets(detector, targets, start + milliseconds(400), intervals).size() ==
          2);
}

TEST_CASE("a target lost three times in a minute is not used again for 30 s [loss_detector]") {
    control::loss_detector detector;
    control::record_loss(detector, "t", start, intervals);
    control::record_loss(detector, "t", start + milliseconds(10000), intervals);
    CHECK(control::earliest_return(detector, "t", intervals) == steady_time{});
    control::record_loss(detector, "t", start + milliseconds(20000), intervals);
    CHECK(control::earliest_return(detector, "t", intervals) == start + milliseconds(50000));
    control::record_loss(detector, "t", start + milliseconds(90000), intervals);
    CHECK(control::earliest_return(detector, "t", intervals) == steady_time{});
}
