#include "gateway/grant_transit.hpp"

#include <doctest/doctest.h>

using namespace mimosavalve::gateway;

namespace {

boot_time at(int time_ms) {
    return boot_time(std::chrono::hours(1)) + milliseconds(time_ms);
}

}  // namespace

TEST_CASE("a network without answers does not count as sound [grant_transit]") {
    transit_evidence evidence;
    CHECK_FALSE(is_sound(evidence, at(0)));
    record_answer(evidence, at(0), at(20), false);
    CHECK(is_sound(evidence, at(1020)));
    CHECK_FALSE(is_sound(evidence, at(1021)));
}

TEST_CASE("fast answers between slow ones do not make a network sound [grant_transit]") {
    transit_evidence evidence;
    record_answer(evidence, at(0), at(301), false);
    record_answer(evidence, at(400), at(410), false);
    CHECK_FALSE(is_sound(evidence, at(410)));
    record_answer(evidence, at(10300), at(10310), false);
    CHECK(is_sound(evidence, at(10310)));
}

TEST_CASE("a fast answer after grants that timed out shows congestion [grant_transit]") {
    transit_evidence evidence;
    record_answer(evidence, at(0), at(10), true);
    record_answer(evidence, at(0), at(10), false);
    CHECK_FALSE(is_sound(evidence, at(20)));
}

TEST_CASE("congestion counts for grants that were sent before it was noticed [grant_transit]") {
    transit_evidence evidence;
    record_answer(evidence, at(0), at(10), false);
    CHECK(transit_bound(evidence, at(100), at(200)) == sound_transit_time);
    record_answer(evidence, at(50), at(900), false);
    record_answer(evidence, at(880), at(910), false);
    CHECK(transit_bound(evidence, at(100), at(920)) == congested_transit_time);
}

TEST_CASE(
    "a grant sent in a congested network keeps its bound when that is sound [grant_transit]") {
    transit_evidence evidence;
    record_answer(evidence, at(0), at(900), false);
    record_answer(evidence, at(11000), at(11010), false);
    CHECK(transit_bound(evidence, at(11020)) == sound_transit_time);
    CHECK(transit_bound(evidence, at(1000), at(11020)) == congested_transit_time);
    CHECK(transit_bound(evidence, at(11000), at(11020)) == sound_transit_time);
}

TEST_CASE("a hold lasts as long as a slow clock measures it [grant_transit]") {
    CHECK(hold_end(at(0), milliseconds(1000)) == at(1020));
}
