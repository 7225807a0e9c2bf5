#include <doctest/doctest.h>

#include <optional>

#include "history/simulation.hpp"

using namespace mimosavalve;
using control::claim_status;
using std::chrono::milliseconds;
using test::simulation;

namespace {

constexpr milliseconds start_up{3000};
constexpr milliseconds answer_time{200};

std::uint64_t unix_ms(const simulation& fleet) {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(fleet.now().time_since_epoch()).count());
}

claim_status claim_at(simulation& fleet, std::size_t host, std::uint64_t stamp) {
    auto answer = std::make_shared<std::optional<claim_status>>();
    // The hosts' clocks differ; a far deadline leaves only the answer to decide.
    const auto far = fleet.now() + std::chrono::hours(100);
    fleet.hosts[host].plane->claim({"bagmati", 0}, "payment-1", stamp, far,
                                   [answer](claim_status status) { *answer = status; });
    fleet.run_for(answer_time);
    return answer->value_or(claim_status::no_leader);
}

std::size_t other_than(std::size_t host) {
    return host == 0 ? 1 : 0;
}

}  // namespace

// A payment that a caller repeats over another router must run at most once.
TEST_CASE("an idempotency key is granted once over all routers [claims]") {
    simulation fleet({});
    fleet.run_for(start_up);
    const auto leader = *fleet.leader();
    const auto stamp = unix_ms(fleet);
    CHECK(claim_at(fleet, other_than(leader), stamp) == claim_status::granted);
    CHECK(claim_at(fleet, leader, stamp) == claim_status::duplicate);
    CHECK(claim_at(fleet, other_than(leader), stamp) == claim_status::duplicate);
}

// The table is in the leader's memory only.
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
    const auto asker = other_than(*fleet.leader());
    fleet.hosts[asker].peers_cut = true;
    std::optional<claim_status> answer;
    // The past on every clock of the fleet.
    fleet.hosts[asker].plane->claim({"bagmati", 0}, "k", unix_ms(fleet), steady_time{},
                                    [&](claim_status status) { answer = status; });
    CHECK_FALSE(answer.has_value());
    fleet.run_for(milliseconds(20));
    CHECK(answer == claim_status::no_leader);
}

// Limits are shares of a fleet-wide limit, so every router must know how many share it.
TEST_CASE("every router counts all live routers, also one of another region [control_plane]") {
    simulation fleet({});
    fleet.run_for(start_up);
    for (const auto& host : fleet.hosts) {
        REQUIRE(host.snapshot);
        CHECK(host.snapshot->live_routers >= 6);
    }
}

TEST_CASE("a fingerprint held back by one router is held back by all for a time [control_plane]") {
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
