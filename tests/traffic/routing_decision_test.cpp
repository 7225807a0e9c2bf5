#include "mimosavalve/traffic/routing_decision.hpp"

#include <doctest/doctest.h>

#include "fleet_fixture.hpp"

using namespace mimosavalve;
using namespace mimosavalve::traffic;

namespace {

request_head head_of(std::string_view path, std::string_view method = "GET") {
    request_head head;
    head.method = method;
    REQUIRE(split_path(path, head));
    head.calling_account = head.account;
    return head;
}

steady_time now() {
    return std::chrono::steady_clock::now();
}

refusal_reason reason_of(const routing_decision& decision) {
    REQUIRE(std::holds_alternative<refuse>(decision));
    return std::get<refuse>(decision).reason;
}

}  // namespace

// Two spellings of one key would hash to two slots and so could have two owners.
TEST_CASE("only the normal form of a path is accepted [routing_decision]") {
    request_head head;
    CHECK(split_path("/status/ward-4/forge/7?x=1", head));
    CHECK(head.route == "status");
    CHECK(head.account == "ward-4");
    CHECK(head.id == "forge/7");
    CHECK(split_path("/status/ward-4/a%2Fb", head));
    for (const auto* path :
         {"", "status/ward-4", "/status", "/status/", "/status//a", "/a/b/../c", "/a/b/./c",
          "/a/b/%61", "/a/b/%2f", "/a/b/%", "/a/b/ c", "/a/b/", "/a/b//c", "http://h/a/b"}) {
        CAPTURE(path);
        CHECK_FALSE(split_path(path, head));
    }
}

TEST_CASE("a keyed request goes to the owner with its fence and slot [routing_decision]") {
    test::fleet_fixture fleet;
    const auto table = build_routing_table(fleet.snapshot());
    const auto decision = decide(*table, head_of("/status/ward-4/metronome-17"), now());
    REQUIRE(std::holds_alternative<send_to>(decision));
    const auto& sent = std::get<send_to>(decision);
    CHECK(sent.target->id == "status-1");
    CHECK(sent.fence == version{1, 1});
    CHECK(sent.slot == ownership::slot_of("status", "ward-4", "metronome-17", 16));
    CHECK(sent.shard->state->shard == shard_id{"bagmati", 0});
}

TEST_CASE("a hot key goes to its own owner [routing_decision]") {
    test::fleet_fixture fleet;
    fleet.state.hot_keys.push_back({"status", "ward-4/forge", "status-2", {1, 1}, ""});
    const auto table = build_routing_table(fleet.snapshot());
    const auto hot = decide(*table, head_of("/status/ward-4/forge"), now());
    const auto other = decide(*table, head_of("/status/ward-4/anvil"), now());
    CHECK(std::get<send_to>(hot).target->id == "status-2");
    CHECK(std::get<send_to>(other).target->id == "status-1");
}

// Sending before the previous owner has stopped would give a key two owners.
TEST_CASE(
    "a request for a slot in handover waits until its version is in force [routing_decision]") {
    test::fleet_fixture fleet;
    fleet.state.at = {1, 2};
    ownership::assign(fleet.state, "status", 0, 16, "status-2", {1, 2});
    const auto head = head_of("/status/ward-4/a");
    auto table = build_routing_table(fleet.snapshot());
    const auto deferred = decide(*table, head, now());
    REQUIRE(std::holds_alternative<defer>(deferred));
    CHECK(std::get<defer>(deferred).reason == refusal_reason::handover);
    fleet.in_force = {1, 2};
    table = build_routing_table(fleet.snapshot());
    const auto sent = decide(*table, head, now());
    CHECK(std::get<send_to>(sent).target->id == "status-2");
}

// A router without a lease may route by an old state.
TEST_CASE("no request is sent without a serving lease [routing_decision]") {
    test::fleet_fixture fleet;
    fleet.lease->extend_to(now() - std::chrono::milliseconds(1));
    const auto table = build_routing_table(fleet.snapshot());
    for (const auto* path : {"/status/ward-4/a", "/orders/ward-4/a"}) {
        const auto decision = decide(*table, head_of(path), now());
        REQUIRE(std::holds_alternative<defer>(decision));
        CHECK(std::get<defer>(decision).reason == refusal_reason::no_serving_lease);
    }
}

TEST_CASE("unknown routes, accounts and owners are refused with their reason [routing_decision]") {
    test::fleet_fixture fleet;
    fleet.state.targets.erase(fleet.state.targets.begin());
    auto table = build_routing_table(fleet.snapshot());
    CHECK(reason_of(decide(*table, head_of("/none/ward-4/a"), now())) ==
          refusal_reason::unknown_route);
    CHECK(reason_of(decide(*table, head_of("/status/none/a"), now())) ==
          refusal_reason::unknown_account);
    CHECK(reason_of(decide(*table, head_of("/status/ward-4"), now())) ==
          refusal_reason::bad_request);
    CHECK(reason_of(decide(*table, head_of("/status/ward-4/a"), now())) ==
          refusal_reason::no_target);
    fleet.state.assignments.clear();
    table = build_routing_table(fleet.snapshot());
    CHECK(reason_of(decide(*table, head_of("/status/ward-4/a"), now())) ==
          refusal_reason::no_owner);
    fleet.state.config_version = 2;
    table = build_routing_table(fleet.snapshot());
    CHECK(reason_of(decide(*table, head_of("/status/ward-4/a"), now())) ==
          refusal_reason::config_behind);
}

// While some routers use the old home regions and some the new ones, a key could have two owners.
TEST_CASE("an account whose home regions are changing is refused [routing_decision]") {
    test::fleet_fixture fleet;
    fleet.config.accounts.front().home_moving = true;
    const auto& moving = fleet.config.accounts.front().name;
    const auto table = build_routing_table(fleet.snapshot());
    const auto path = "/status/" + moving + "/metronome-17";
    CHECK(reason_of(decide(*table, head_of(path), now())) == refusal_reason::home_moving);
    CHECK(verdict_before_send(refusal_reason::home_moving) == traffic_verdict::not_run);
}

// A request bound to home regions must not be served elsewhere.
TEST_CASE("a request is served only in home regions of both accounts [routing_decision]") {
    test::fleet_fixture fleet;
    const auto table = build_routing_table(fleet.snapshot());
    const auto other_region = decide(*table, head_of("/status/ward-6/a"), now());
    CHECK(reason_of(other_region) == refusal_reason::wrong_region);
    CHECK(std::get<refuse>(other_region).detail == "gandaki");
    auto crossed = head_of("/status/ward-4/a");
    crossed.calling_account = "ward-6";
    CHECK(reason_of(decide(*table, crossed, now())) == refusal_reason::no_home_region);
    auto crossed_unkeyed = head_of("/orders/ward-4/a");
    crossed_unkeyed.calling_account = "ward-6";
    CHECK(reason_of(decide(*table, crossed_unkeyed, now())) == refusal_reason::no_home_region);
    const auto unkeyed = decide(*table, head_of("/orders/ward-5/a"), now());
    CHECK(std::holds_alternative<send_to>(unkeyed));
}

TEST_CASE(
    "a non-idempotent POST needs its key and the time of the first attempt "
    "[routing_decision]") {
    test::fleet_fixture fleet;
    const auto table = build_routing_table(fleet.snapshot());
    auto head = head_of("/pay/ward-4/a", "POST");
    CHECK(reason_of(decide(*table, head, now())) == refusal_reason::missing_idempotency_key);
    head.idempotency_key = "k-1";
    CHECK(reason_of(decide(*table, head, now())) == refusal_reason::missing_idempotency_key);
    head.idempotency_time_ms = 1;
    const auto decision = decide(*table, head, now());
    REQUIRE(std::holds_alternative<send_to>(decision));
    CHECK(claim_shard_of(*table, std::get<send_to>(decision), head) == shard_id{"bagmati", 0});
    CHECK(std::holds_alternative<send_to>(decide(*table, head_of("/pay/ward-4/a"), now())));
}

// Targets that are leaving, or in a removed failure domain, must get no new requests.
TEST_CASE(
    "unkeyed requests avoid removed domains, drained and inactive targets "
    "[routing_decision]") {
    const auto candidates = [](const test::fleet_fixture& fleet) {
        const auto table = build_routing_table(fleet.snapshot());
        std::string ids;
        for (const auto& candidate : table->services.at("orders").candidates) {
            ids += candidate.target->id + " ";
        }
        return ids;
    };
    test::fleet_fixture fleet;
    CHECK(candidates(fleet) == "orders-1 orders-2 ");
    fleet.config.removed_domains = {"bagmati-a"};
    CHECK(candidates(fleet) == "orders-2 ");
    fleet.config.removed_domains.clear();
    fleet.config.drained_targets = {"orders-2"};
    CHECK(candidates(fleet) == "orders-1 ");
    fleet.target("orders-1").condition = ownership::target_condition::leaving;
    CHECK(candidates(fleet).empty());
    const auto table = build_routing_table(fleet.snapshot());
    CHECK(reason_of(decide(*table, head_of("/orders/ward-4/a"), now())) ==
          refusal_reason::no_target);
}
