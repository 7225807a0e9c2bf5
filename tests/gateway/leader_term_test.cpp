#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "mimosavalve/gateway/leader_term.hpp"
#include "mimosavalve/gateway/platform_port.hpp"

using namespace mimosavalve::gateway;
using std::chrono::seconds;

namespace {

boot_time at(int time_s) {
    return boot_time(seconds(1000 + time_s));
}

router_instances three_instances() {
    return {{"h1", 1}, {"h2", 2}, {"h3", 3}};
}

}  // namespace

TEST_CASE(
    "without the store a leader needs more than half of the recorded instances [leader_term]") {
    evidence_by_host evidence;
    evidence["h1"] = {1, at(9), at(9), {}, std::nullopt};
    CHECK_FALSE(lease_without_store(three_instances(), evidence));
    evidence["h2"] = {2, at(5), at(5), {}, std::nullopt};
    REQUIRE(lease_without_store(three_instances(), evidence));
    CHECK(*lease_without_store(three_instances(), evidence) == at(5) + confirmation_time);
    evidence["h3"] = {3, at(8), at(8), {}, std::nullopt};
    CHECK(*lease_without_store(three_instances(), evidence) == at(8) + confirmation_time);
}

TEST_CASE(
    "a term is confirmed by all parts of the fleet as long as by each of them [leader_term]") {
    evidence_by_host evidence;
    evidence["h1"] = {1, at(9), at(9), {}, std::nullopt, "north-a"};
    evidence["h2"] = {2, at(8), at(8), {}, std::nullopt, "north-b"};
    const region_map one_region{{"north-a", "north"}, {"north-b", "north"}};
    const region_map two_regions{{"north-a", "north"}, {"north-b", "north"}, {"south-a", "south"}};
    const auto by_all = [&](const region_map& regions) {
        const auto end = lease_by_all_parts(three_instances(), evidence, regions);
        REQUIRE(end);
        return *end;
    };
    CHECK(by_all(one_region) == at(8) + confirmation_time);
    CHECK(by_all(two_regions) < at(0));
    CHECK(by_all({}) == at(8) + confirmation_time);
    evidence["h3"] = {3, at(7), at(7), {}, std::nullopt, "south-a"};
    CHECK(by_all(two_regions) == at(7) + confirmation_time);
    // Another instance of the same host confirms nothing.
    evidence["h3"].instance = 13;
    CHECK(by_all(two_regions) < at(0));
}

// Guards against keys that are never served again after half of the routers are gone for good.
TEST_CASE("half of the recorded instances leave the other half without a majority [leader_term]") {
    const router_instances recorded{{"h1", 1}, {"h2", 2}, {"h3", 3}, {"h4", 4}};
    evidence_by_host followers;
    followers["h1"] = {1, at(9), at(9), {}, std::nullopt};
    CHECK_FALSE(has_taken_over(recorded, followers));
    followers["h2"] = {12, at(9), at(9), {}, std::nullopt};
    CHECK(has_taken_over(recorded, followers));
    evidence_by_host others;
    others["h3"] = {3, at(9), at(9), {}, std::nullopt};
    others["h4"] = {4, at(9), at(9), {}, std::nullopt};
    CHECK_FALSE(lease_without_store(recorded, others));
}

TEST_CASE("a router that reaches the store does not confirm that it is lost [leader_term]") {
    evidence_by_host evidence;
    evidence["h1"] = {1, at(9), at(9), {}, std::nullopt};
    evidence["h2"] = {2, at(9), boot_time{}, {}, std::nullopt};
    CHECK_FALSE(lease_without_store(three_instances(), evidence));
}

TEST_CASE("a restarted router confirms nothing for its recorded instance [leader_term]") {
    evidence_by_host evidence;
    evidence["h1"] = {1, at(9), at(9), {}, std::nullopt};
    evidence["h2"] = {99, at(9), at(9), {}, std::nullopt};
    CHECK_FALSE(lease_without_store(three_instances(), evidence));
    CHECK(has_taken_over(three_instances(), evidence));
}

TEST_CASE("inherited holds last longer when a router has reported long holds [leader_term]") {
    evidence_by_host evidence;
    evidence["h1"] = {1, at(9), {}, {}, std::nullopt};
    const hold_times holds{seconds(3), seconds(10)};
    CHECK(inherited_holds_end(holds, evidence, at(9)) == at(12) + confirmation_time);
    evidence["h2"] = {2, at(9), {}, {}, at(8)};
    CHECK(inherited_holds_end(holds, evidence, at(9)) == at(18) + confirmation_time);
}

TEST_CASE(
    "long holds would be reported if each majority has an instance that follows [leader_term]") {
    evidence_by_host evidence;
    evidence["h1"] = {1, at(9), {}, {}, std::nullopt};
    evidence["h2"] = {99, at(9), {}, {}, std::nullopt};
    CHECK_FALSE(would_report_long_holds(three_instances(), evidence));
    evidence["h3"] = {3, at(9), {}, {}, std::nullopt};
    CHECK(would_report_long_holds(three_instances(), evidence));
    CHECK(would_report_long_holds({}, evidence));
}

// The two majorities have an instance in common: while a leader may act without the store, no
// successor can have taken over, since it would need one of the instances that confirm the leader.
TEST_CASE(
    "a leader without the store and its successor cannot both have more than half "
    "[leader_term]") {
    CHECK(rc::check([] {
        router_instances recorded;
        const auto size = *rc::gen::inRange(1, 12);
        evidence_by_host old_leader;
        evidence_by_host new_leader;
        for (int index = 0; index < size; ++index) {
            const auto host = "h" + std::to_string(index);
            recorded[host] = 1;
            // Each instance follows one of the two leaders, or calls neither.
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

TEST_CASE("fences rise although the store's revisions went back [leader_term]") {
    const auto epoch = [](std::uint64_t era, std::uint64_t number) {
        return (era << store_era_shift) + number;
    };
    CHECK(first_fence(5) == 5 * 4096);
    CHECK(first_fence(epoch(0, 6)) > first_fence(epoch(0, 5)));
    CHECK(first_fence(epoch(1, 5)) > first_fence(epoch(0, 1U << 24U)));
    CHECK(first_fence(epoch(3, 20000000)) > first_fence(epoch(2, 20000000 + (1U << 23U))));
}

// JSON numbers are exact only up to 2^53.
TEST_CASE("fences stay exact as JSON numbers when the store comes back older often [leader_term]") {
    constexpr std::uint64_t max_exact = std::uint64_t{1} << 53U;
    CHECK(first_fence((std::uint64_t{1000} << store_era_shift) + 50000) < max_exact);
}

TEST_CASE(
    "long holds need confirmation by more than half of the recorded instances [leader_term]") {
    evidence_by_host evidence;
    evidence["h1"] = {1, at(9), at(9), at(9), std::nullopt};
    evidence["h2"] = {99, at(9), at(9), at(9), std::nullopt};
    CHECK_FALSE(may_grant_long_holds(three_instances(), evidence));
    evidence["h3"] = {3, at(9), at(9), at(9), std::nullopt};
    CHECK(may_grant_long_holds(three_instances(), evidence));
}

TEST_CASE("inherited holds outlast a lease that a new era did not wait for [leader_term]") {
    const hold_times holds{seconds(3), seconds(10)};
    CHECK(inherited_holds_end(holds, {}, at(0), seconds(2)) == at(5));
    CHECK(inherited_holds_end(holds, {}, at(0)) == at(3) + confirmation_time);
}

TEST_CASE(
    "records keep the epoch of their leader, and those without one are current "
    "[leader_term]") {
    const std::uint64_t epoch = (std::uint64_t{2} << store_era_shift) + 7;
    const auto owners = decode_key_record(encode(key_record{key_map(), epoch}));
    REQUIRE(owners);
    CHECK(owners->epoch == epoch);
    const auto routers = decode_router_record(encode(router_record{three_instances(), epoch}));
    REQUIRE(routers);
    CHECK(routers->epoch == epoch);
    CHECK(routers->instances == three_instances());
    const auto old_form = decode_key_record(encode(key_map()));
    REQUIRE(old_form);
    CHECK(is_current(old_form->epoch, epoch));
    CHECK(is_current(epoch + 1, epoch));
    CHECK_FALSE(is_current(epoch - (std::uint64_t{1} << store_era_shift), epoch));
}
