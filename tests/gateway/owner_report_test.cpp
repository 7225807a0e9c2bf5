#include <doctest/doctest.h>

#include "decider_fixture.hpp"

using namespace mimosavalve::gateway;
using mimosavalve::gateway::testing::decider_fixture;

namespace {

/// Targets "a" and "c" have half of the keys each.
void begin_with_owners(decider_fixture& fleet) {
    for (const auto* id : {"a", "c"}) {
        fleet.add_target(id);
    }
    key_map map;
    map.segments = {{0, 32767, "a", 7, false, 1, 0}, {32768, key_count - 1, "c", 8, false, 1, 0}};
    fleet.record(map);
    fleet.lead();
    fleet.advance_time(std::chrono::seconds(1));
}

/// A report that the owner of key 0 has answered 421.
void report(decider_fixture& fleet, const std::string& host, std::uint64_t fence) {
    sync_request reports;
    reports.misdirected = {{"status", 0, "a", 1, fence}};
    fleet.decider.add_contradictions(host, reports);
}

}  // namespace

// An owner whose grant has expired answered 421 until its next renewal, up to 600 ms later.
TEST_CASE("the grant of a reported range is renewed at once [owner_report]") {
    decider_fixture fleet;
    begin_with_owners(fleet);
    fleet.await_grant_to("a", milliseconds(1000));
    fleet.advance_time(milliseconds(200));
    const auto before = fleet.count_orders(true, "a");
    report(fleet, "h1", 6);
    CHECK(fleet.count_orders(true, "a") == before);  // The report is outdated.
    report(fleet, "h1", 7);
    CHECK(fleet.count_orders(true, "a") == before + 1);
    report(fleet, "h2", 7);  // Has been renewed just now.
    CHECK(fleet.count_orders(true, "a") == before + 1);
}

// An owner that confirms its renewals and yet answers 421 kept its keys for ever.
TEST_CASE("three routers that report a range get it a new fence [owner_report]") {
    decider_fixture fleet;
    begin_with_owners(fleet);
    const auto fence = [&] { return segment_of(fleet.core.state.keys.at("status"), 0).fence; };
    report(fleet, "h1", 7);
    report(fleet, "h1", 7);
    report(fleet, "h2", 7);
    fleet.advance_time(milliseconds(500));
    CHECK(fence() == 7);
    report(fleet, "h3", 7);
    fleet.advance_time(milliseconds(500));
    CHECK(fence() > 8);
    CHECK(fleet.owner_of(0) == "a");
    CHECK(fleet.owner_of(40000) == "c");
}

// Another target answers at the address, so neither a renewal nor a release reaches the owner.
TEST_CASE("keys of a target that has moved go to others after its holds [owner_report]") {
    decider_fixture fleet;
    begin_with_owners(fleet);
    fleet.await_grant_to("a", milliseconds(1000));
    sync_request reports;
    reports.moved = {{"a", 1}};
    fleet.decider.add_contradictions("h1", reports);
    fleet.decider.add_contradictions("h1", reports);
    fleet.advance_time(milliseconds(1000));
    CHECK(fleet.owner_of(0) == "a");
    CHECK_FALSE(segment_of(fleet.core.state.keys.at("status"), 0).moving);
    fleet.decider.add_contradictions("h2", reports);
    const auto last_grant = fleet.last_grant_to("a");
    fleet.advance_time(std::chrono::seconds(8));
    CHECK(fleet.last_grant_to("a") == last_grant);
    CHECK(fleet.count_orders(false, "a") == 0);
    REQUIRE(fleet.owner_of(0) == "c");
    boot_time first_grant = boot_time::max();
    for (const auto& order : fleet.orders) {
        if (order.grant && order.address == "c" && order.keys.first == 0) {
            first_grant = std::min(first_grant, order.sent_at);
        }
    }
    CHECK(first_grant - last_grant >= milliseconds(2400));
}
