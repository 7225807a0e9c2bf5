#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "mimosavalve/gateway/leader_term.hpp"

using namespace mimosavalve::gateway;
using std::chrono::seconds;

namespace {

boot_time at(int time_s) {
    return boot_time(seconds(1000 + time_s));
}

router_instances three_runs() {
    return {{"h1", 1}, {"h2", 2}, {"h3", 3}};
}

}  // namespace

TEST_CASE("without the store a leader needs more than half of the recorded runs [leader_term]") {
    evidence_by_host heard;
    heard["h1"] = {1, at(9), at(9), {}, std::nullopt};
    CHECK_FALSE(lease_without_store(three_runs(), heard));
    heard["h2"] = {2, at(5), at(5), {}, std::nullopt};
    REQUIRE(lease_without_store(three_runs(), heard));
    CHECK(*lease_without_store(three_runs(), heard) == at(5) + confirmation_time);
    heard["h3"] = {3, at(8), at(8), {}, std::nullopt};
    CHECK(*lease_without_store(three_runs(), heard) == at(8) + confirmation_time);
}

TEST_CASE("a router that reaches the store does not confirm that it is lost [leader_term]") {
    evidence_by_host heard;
    heard["h1"] = {1, at(9), at(9), {}, std::nullopt};
    heard["h2"] = {2, at(9), boot_time{}, {}, std::nullopt};
    CHECK_FALSE(lease_without_store(three_runs(), heard));
}

TEST_CASE("a restarted router confirms nothing for the run on record [leader_term]") {
    evidence_by_host heard;
    heard["h1"] = {1, at(9), at(9), {}, std::nullopt};
    heard["h2"] = {99, at(9), at(9), {}, std::nullopt};
    CHECK_FALSE(lease_without_store(three_runs(), heard));
    CHECK(has_taken_over(three_runs(), heard));
}

TEST_CASE("inherited holds last longer when a router had heard of long ones [leader_term]") {
    evidence_by_host heard;
    heard["h1"] = {1, at(9), {}, {}, std::nullopt};
    const hold_times holds{seconds(3), seconds(10)};
    CHECK(inherited_holds_end(holds, heard, at(9)) == at(12) + confirmation_time);
    heard["h2"] = {2, at(9), {}, {}, at(8)};
    CHECK(inherited_holds_end(holds, heard, at(9)) == at(18) + confirmation_time);
}

// The two halves share a run, whatever was heard: while one leader may act without the store, no
// successor can have taken over from the runs that confirm it.
TEST_CASE(
    "a leader without the store and its successor cannot both have more than half "
    "[leader_term]") {
    CHECK(rc::check([] {
        router_instances recorded;
        const auto size = *rc::gen::inRange(1, 12);
        evidence_by_host old_leader;
        evidence_by_host new_leader;
        for (int number = 0; number < size; ++number) {
            const auto host = "h" + std::to_string(number);
            recorded[host] = 1;
            // Each run follows one of the two, or is heard of by nobody.
            const auto side = *rc::gen::inRange(0, 3);
            if (side == 0) {
                old_leader[host] = {1, at(9), at(9), {}, std::nullopt};
            } else if (side == 1) {
                new_leader[host] = {1, at(9), {}, {}, std::nullopt};
            }
        }
        RC_ASSERT(
            !(lease_without_store(recorded, old_leader) && has_taken_over(recorded, new_leader)));
    }));
}

TEST_CASE("long holds need more than half of the recorded runs to know of them [leader_term]") {
    evidence_by_host heard;
    heard["h1"] = {1, at(9), at(9), at(9), std::nullopt};
    heard["h2"] = {99, at(9), at(9), at(9), std::nullopt};
    CHECK_FALSE(may_grant_long_holds(three_runs(), heard));
    heard["h3"] = {3, at(9), at(9), at(9), std::nullopt};
    CHECK(may_grant_long_holds(three_runs(), heard));
}
