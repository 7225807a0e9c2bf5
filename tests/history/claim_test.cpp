#include <doctest/doctest.h>

#include <optional>

#include "history/simulation.hpp"

using namespace mimosavalve;
using control::claim_status;
using std::chrono::milliseconds;
using test::simulation;

namespace {

constexpr milliseconds start_up{3000};
constexpr milliseconds reply_time{200};

std::uint64_t unix_ms(const simulation& fleet) {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(fleet.now().time_since_epoch()).count());
}

claim_status claim_at(simulation& fleet, std::size_t host, std::uint64_t stamp) {
    auto answer = std::make_shared<std::optional<claim_status>>();
    // The hosts' clocks differ, so the deadline lies far ahead and only the answer ends the claim.
    const auto far = fleet.now() + std::chrono::hours(100);
    fleet.hosts[host].plane->claim({"bagmati", 0}, "payment-1", stamp, far,
                                   [answer](claim_status status) { *answer = status; });
    fleet.run_for(reply_time);
    return answer->value_or(claim_status::no_leader);
}

std::size_t other_than(std::size_t host) {
    return host == 0 ? 1 : 0;
}

}  // namespace

// A payment that a caller retries through another router must run at most once.
TEST_CASE("an idempotency key is granted once across all routers [claims]") {
    simulation fleet({});
    fleet.run_for(start_up);
    const auto leader = *fleet.leader();
    const auto stamp = unix_ms(fleet);
    CHECK(claim_at(fleet, other_than(leader), stamp) == claim_status::granted);
    CHECK(claim_at(fleet, leader, stamp) == claim_status::duplicate);
    CHECK(claim_at(fleet, other_than(leader), stamp) == claim_status::duplicate);
}

// The table of claimed keys is in the leader's memory only, so its successor does not have it.
TEST_CASE("the next leader refuses a key that its predecessor may have granted [claims]") {
    simulation fleet({});
    fleet.run_for(start_up);
    const auto leader = *fleet.leader();
    const auto stamp = unix_ms(fleet);
    CHECK(claim_at(fleet, other_than(leader), stamp) == claim_status::granted);
    fleet.kill_host(leader);
    CHECK(claim_at(fleet, other_than(leader), stamp) == claim_status::no_leader);
    fleet.run_for(milliseconds(3000));
    CHECK(claim_at(fleet, other_than(leader), stamp) == claim_status::too_old);
    CHECK(claim_at(fleet, other_than(leader), unix_ms(fleet)) == claim_status::granted);
}

TEST_CASE("a claim without an answer ends at its deadline [claims]") {
    simulation fleet({});
    fleet.run_for(start_up);
    const auto claiming_host = other_than(*fleet.leader());
    fleet.hosts[claiming_host].peers_cut = true;
    std::optional<claim_status> answer;
    // The deadline is in the past on every host's clock.
    fleet.hosts[claiming_host].plane->claim({"bagmati", 0}, "k", unix_ms(fleet), steady_time{},
                                            [&](claim_status status) { answer = status; });
    CHECK_FALSE(answer.has_value());
    fleet.run_for(milliseconds(20));
    CHECK(answer == claim_status::no_leader);
}

// Each router applies its share of a fleet-wide limit, so it needs the number of routers that share
// it.
TEST_CASE(
    "every router counts all live routers, including those of other regions [control_plane]") {
    simulation fleet({});
    fleet.run_for(start_up);
    for (const auto& host : fleet.hosts) {
        REQUIRE(host.snapshot);
        CHECK(host.snapshot->live_routers >= 6);
    }
}

TEST_CASE("a fingerprint quarantined by one router is quarantined by all routers [control_plane]") {
    simulation fleet({});
    fleet.run_for(start_up);
    const std::vector<std::uint64_t> fingerprints{42};
    const auto local = fleet.now() + std::chrono::seconds(1000);
    fleet.hosts[0].plane->add_quarantined(fingerprints, local);
    fleet.run_for(milliseconds(1000));
    for (const auto& host : fleet.hosts) {
        REQUIRE(host.snapshot);
        CHECK(host.snapshot->quarantined == fingerprints);
    }
}
