#include <doctest/doctest.h>

#include <map>

#include "mimosavalve/gateway/http_message.hpp"
#include "mimosavalve/gateway/quota_plan.hpp"
#include "mimosavalve/gateway/route_config.hpp"
#include "mimosavalve/gateway/target_registry.hpp"
#include "mimosavalve/gateway/target_table.hpp"

using namespace mimosavalve::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const boot_time start = boot_time(std::chrono::hours(1));

route make_route(const std::string& name, const std::string& prefix) {
    route out;
    out.name = name;
    out.host = "desk.example";
    out.prefix = prefix;
    out.timeout = milliseconds(1500);
    out.objective = milliseconds(800);
    out.services.push_back({"orders", 1});
    return out;
}

operator_config make_config(std::uint64_t version) {
    operator_config config;
    config.version = version;
    config.services.emplace("orders", service{});
    config.routes = {make_route("all", "/"), make_route("orders", "/orders/"),
                     make_route("urgent", "/orders/urgent/")};
    return config;
}

target_entry make_entry(const std::string& id, const std::string& domain) {
    target_entry entry;
    entry.id = id;
    entry.service = "orders";
    entry.address = "10.0.0.1:80";
    entry.failure_domain = domain;
    entry.slots = 4;
    entry.started_unix_ms = 1;
    return entry;
}

routing_state make_state() {
    routing_state state;
    state.config = make_config(1);
    state.config.services["orders"].name = "orders";
    state.regions = {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}};
    state.own_domain = "a1";
    state.own_region = "a";
    for (const auto& [id, domain] : {std::pair{"t1", "a1"}, {"t2", "a2"}, {"t3", "b1"}}) {
        state.registry.targets.emplace(id, make_entry(id, domain));
        state.concurrency_quotas[id] = 6;
    }
    update_targets(state, start);
    return state;
}

}  // namespace

TEST_CASE("the longest matching prefix of a host selects the route [route_config]") {
    const auto config = make_config(1);
    const route_index index(config);
    CHECK(config.routes[*index.find("desk.example", "/orders/urgent/7")].name == "urgent");
    CHECK(config.routes[*index.find("desk.example:8080", "/orders/urgent")].name == "orders");
    CHECK(config.routes[*index.find("DESK.example", "/other")].name == "all");
    CHECK_FALSE(index.find("other.example", "/orders/"));
}

TEST_CASE("an unusable configuration is rejected with the reason [route_config]") {
    CHECK(problem_of(make_config(2), 1).empty());
    CHECK(problem_of(make_config(1), 1).find("not above version 1") != std::string::npos);
    auto broken = make_config(2);
    broken.routes[1].services.front().service = "none";
    CHECK(problem_of(broken, 1) == "route orders names the unknown service none");
    broken = make_config(2);
    broken.routes[1].prefix = "/orders";
    CHECK(problem_of(broken, 1).find("slash") != std::string::npos);
    broken = make_config(2);
    broken.routes[2].prefix = "/orders/";
    CHECK(problem_of(broken, 1).find("same host and prefix") != std::string::npos);
    broken = make_config(2);
    broken.routes[0].max_attempts = 0;
    CHECK_FALSE(problem_of(broken, 1).empty());
}

TEST_CASE(
    "entries that are missing after an outage are kept until targets had time to rewrite them "
    "[registry]") {
    registry_outage outage;
    registry_state state;
    registry_snapshot snapshot;
    snapshot.revision = 10;
    snapshot.targets = {make_entry("t1", "a1"), make_entry("t2", "a1")};
    state = merge_snapshot(state, snapshot, outage, start);
    record_registry_outage(outage, start + seconds(1));
    snapshot.revision = 11;
    snapshot.targets.pop_back();
    state = merge_snapshot(state, snapshot, outage, start + seconds(2));
    CHECK(state.targets.contains("t2"));
    state = merge_snapshot(state, snapshot, outage, start + seconds(4));
    CHECK_FALSE(state.targets.contains("t2"));
}

TEST_CASE(
    "without an outage a missing entry is removed at once, and older snapshots change nothing "
    "[registry]") {
    registry_outage outage;
    registry_state state;
    registry_snapshot snapshot;
    snapshot.revision = 10;
    snapshot.targets = {make_entry("t1", "a1")};
    state = merge_snapshot(state, snapshot, outage, start);
    auto older = snapshot;
    older.revision = 9;
    older.targets.clear();
    CHECK(merge_snapshot(state, older, outage, start).targets.contains("t1"));
    older.revision = 11;
    CHECK(merge_snapshot(state, older, outage, start).targets.empty());
}

TEST_CASE("leaving targets and targets of evacuated domains are sent nothing [targets]") {
    auto state = make_state();
    const auto request_route = state.config.routes[1];
    const choice_request request{&request_route, "orders", std::nullopt, {}};
    CHECK(choose_target(state, request, start).target->entry.id == "t1");
    state.registry.targets["t1"].leaving = true;
    update_targets(state, start);
    CHECK(choose_target(state, request, start).target->entry.id == "t2");
    state.registry.evacuated_domains = {"a2"};
    CHECK(choose_target(state, request, start).target->entry.id == "t3");
    state.registry.evacuated_domains = {"a2", "b1"};
    CHECK(choose_target(state, request, start).kind == choice_kind::none);
}

TEST_CASE(
    "targets of a domain that comes back from an evacuation are used as cold ones [targets]") {
    auto state = make_state();
    state.config.services["orders"].cold_time = seconds(3);
    state.registry.evacuated_domains = {"a2"};
    update_targets(state, start);
    state.registry.evacuated_domains.clear();
    const auto back = start + seconds(10);
    update_targets(state, back);
    CHECK(is_cold(*state.targets.at("t2"), back + milliseconds(2999)));
    CHECK_FALSE(is_cold(*state.targets.at("t2"), back + seconds(3)));
    CHECK_FALSE(is_cold(*state.targets.at("t1"), back));
    update_targets(state, back + seconds(2));
    CHECK_FALSE(is_cold(*state.targets.at("t2"), back + seconds(3)));
}

TEST_CASE("requests of a route with home regions are sent only there [targets]") {
    auto state = make_state();
    auto request_route = state.config.routes[1];
    request_route.home_regions = {"b"};
    const choice_request request{&request_route, "orders", std::nullopt, {}};
    CHECK(choose_target(state, request, start).target->entry.id == "t3");
    state.registry.targets.erase("t3");
    update_targets(state, start);
    CHECK(choose_target(state, request, start).kind == choice_kind::none);
}

TEST_CASE("a router sends no more than its concurrency quota [targets]") {
    auto state = make_state();
    const auto request_route = state.config.routes[1];
    const choice_request request{&request_route, "orders", std::nullopt, {}};
    state.concurrency_quotas = {{"t2", 1}};
    auto choice = choose_target(state, request, start);
    REQUIRE(choice.target != nullptr);
    CHECK(choice.target->entry.id == "t2");
    ++choice.target->running;
    CHECK(choose_target(state, request, start).kind == choice_kind::wait_for_room);
}

// A router that sends one request at a time must not always use the first of two equal targets.
TEST_CASE("equal targets take turns under light load [targets]") {
    auto state = make_state();
    state.registry.targets["t2"].failure_domain = "a1";
    update_targets(state, start);
    const auto request_route = state.config.routes[1];
    const choice_request request{&request_route, "orders", std::nullopt, {}};
    std::map<std::string, int> sends;
    for (int count = 0; count < 10; ++count) {
        const auto now = start + count * milliseconds(100);
        auto* target = choose_target(state, request, now).target;
        REQUIRE(target != nullptr);
        ++sends[target->entry.id];
        record_send(*target, now);
        --target->running;
        // Measured times of equal targets differ a little.
        set_work_ms(state, *target, target->entry.id == "t1" ? 100 : 105);
    }
    CHECK(sends["t1"] == 5);
    CHECK(sends["t2"] == 5);
}

TEST_CASE("a clearly slower target is sent nothing under light load [targets]") {
    auto state = make_state();
    state.registry.targets["t2"].failure_domain = "a1";
    update_targets(state, start);
    set_work_ms(state, *state.targets["t1"], 100);
    set_work_ms(state, *state.targets["t2"], 200);
    const auto request_route = state.config.routes[1];
    const choice_request request{&request_route, "orders", std::nullopt, {}};
    for (int count = 0; count < 10; ++count) {
        const auto now = start + count * milliseconds(100);
        auto* target = choose_target(state, request, now).target;
        REQUIRE(target != nullptr);
        CHECK(target->entry.id == "t1");
        record_send(*target, now);
        --target->running;
    }
}

// Guards against exceeding the connection limit of targets after a power loss of all hosts, when
// the connections of former processes still count: targets then reset some 1,900 connections.
TEST_CASE(
    "while former connections may be open, new ones use at most half of the limit [targets]") {
    auto state = make_state();
    auto& kind = state.config.services["orders"];
    kind.max_connections = 130;
    state.router_count = 12;
    const auto& target = *state.targets["t1"];
    const auto before = own_concurrency_limit(state, target, kind, start) * state.router_count;
    state.former_connections_until = start + seconds(10);
    const auto after =
        own_concurrency_limit(state, target, kind, start + seconds(9)) * state.router_count;
    CHECK(after * 2 <= kind.max_connections);
    CHECK(after < before);
    CHECK(own_concurrency_limit(state, target, kind, start + seconds(10)) * state.router_count ==
          before);
    // A router always gets at least one connection.
    kind.max_connections = 10;
    CHECK(own_concurrency_limit(state, target, kind, start) == 1);
}

TEST_CASE("a new leader does not divide limits among too few routers [quota_plan]") {
    CHECK(sharing_router_count(2, milliseconds(100)) == assumed_router_count);
    CHECK(sharing_router_count(90, milliseconds(100)) == 90);
    CHECK(sharing_router_count(2, seconds(2)) == 2);
}

TEST_CASE("uploads stay in their own region while it has targets [targets]") {
    auto state = make_state();
    auto request_route = state.config.routes[1];
    request_route.kind = request_kind::upload;
    for (auto* id : {"t1", "t2"}) {
        state.targets[id]->running = 5;
    }
    const choice_request request{&request_route, "orders", std::nullopt, {}};
    CHECK(choose_target(state, request, start).target->entry.id != "t3");
}

TEST_CASE("requests for a key whose owner changes wait for the announced time [targets]") {
    auto state = make_state();
    state.config.services["orders"].keyed = true;
    const auto request_route = state.config.routes[1];
    const choice_request request{&request_route, "orders", 7, {}};
    CHECK(choose_target(state, request, start).kind == choice_kind::wait_for_owner);
    key_map map;
    map.segments = {{0, key_count - 1, "t1", 3, true, 1, 400}};
    state.keys["orders"] = map;
    state.keys_received_at["orders"] = start;
    const auto choice = choose_target(state, request, start + milliseconds(100));
    CHECK(choice.kind == choice_kind::wait_for_owner);
    CHECK(choice.expected_wait == milliseconds(300));
    state.keys["orders"].segments.front().moving = false;
    CHECK(choose_target(state, request, start).target->entry.id == "t1");
}

TEST_CASE("a request with two lengths is malformed [http]") {
    bool head_received = false;
    message_parser parser(message_kind::request, {},
                          {[&](const message_head&) { head_received = true; }, {}, {}});
    const auto result = parser.feed(
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n");
    CHECK(result.error == parse_error::malformed);
    CHECK_FALSE(head_received);
}

TEST_CASE("a message that arrives in pieces is parsed like a complete one [http]") {
    const std::string text =
        "POST /a?x=1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "4\r\nabcd\r\n3\r\nefg\r\n0\r\n\r\nGET";
    for (const std::size_t step : {1UL, 3UL, 7UL, text.size()}) {
        message_head head;
        std::string body;
        bool done = false;
        message_parser parser(
            message_kind::request, {},
            {[&](message_head got) { head = std::move(got); },
             [&](std::string_view part) { body.append(part); }, [&] { done = true; }});
        std::string input;
        for (std::size_t at = 0; at < text.size() && !done; at += step) {
            input.append(text.substr(at, step));
            const auto fed = parser.feed(input);
            REQUIRE(fed.error == parse_error::none);
            input.erase(0, fed.consumed);
        }
        CHECK(done);
        CHECK(body == "abcdefg");
        CHECK(head.request_target == "/a?x=1");
        CHECK(path_of(head) == "/a");
    }
}

TEST_CASE("a response that ends early is not complete [http]") {
    message_parser parser(message_kind::answer, {}, {});
    parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
    CHECK_FALSE(parser.finish());
    message_parser without_length(message_kind::answer, {}, {});
    without_length.feed("HTTP/1.1 200 OK\r\n\r\nabc");
    CHECK(without_length.finish());
}
