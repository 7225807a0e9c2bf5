// Values of another writer, or broken ones, in the store and in calls of peers.
#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "base64.hpp"
#include "config_codec.hpp"
#include "fleet_fixture.hpp"
#include "mimosavalve/core/error.hpp"
#include "mimosavalve/gateway/key_map.hpp"
#include "mimosavalve/gateway/peer_messages.hpp"
#include "store_client.hpp"
#include "wire_names.hpp"

using namespace mimosavalve;

namespace {

std::string entry_with(const std::string& slots, const std::string& address = "10.0.0.1:80",
                       const std::string& sequence = "4") {
    return R"({"service":"s","address":")" + address + R"(","zone":"z","slots":)" + slots +
           R"(,"state":"ready","warmupLeftMs":0,"sequence":)" + sequence +
           R"(,"born":1700000000000})";
}

std::string nested(std::size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
}

/// A copy of `text` with a few bytes changed, removed, repeated or inserted.
std::string mutated(std::string text, std::mt19937& random) {
    const auto changes = 1 + random() % 4;
    for (unsigned change = 0; change < changes && !text.empty(); ++change) {
        const auto at = random() % text.size();
        switch (random() % 5) {
            case 0:
                text[at] = static_cast<char>(random());
                break;
            case 1:
                text.erase(at, 1 + random() % 8);
                break;
            case 2:
                text.insert(at, text.substr(at, random() % 40));
                break;
            case 3:
                text.insert(at, std::string(1 + random() % 3, static_cast<char>(random())));
                break;
            default:
                text.insert(at, std::string(1 + random() % 400, random() % 2 == 0 ? '[' : '9'));
        }
    }
    return text;
}

}  // namespace

TEST_CASE("an entry with a number that is too large names no target [platform]") {
    CHECK(platform::decode_target("i", entry_with("4")));
    CHECK(platform::decode_target("i", entry_with("4.0")));
    for (const auto* slots : {"4000000000", "18446744073709551615", "18446744073709551616", "1e300",
                              "1e999", "-1", "-1e300", "null", "\"4\""}) {
        CAPTURE(slots);
        CHECK_FALSE(platform::decode_target("i", entry_with(slots)));
    }
    CHECK_FALSE(platform::decode_target("i", entry_with("4", "10.0.0.1:80", "1e300")));
    for (const auto* address : {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999999999",
                                "10.0.0.1:-1", "10.0.0.1:", ":80", "10.0.0:80", "host:80", ""}) {
        CAPTURE(address);
        CHECK_FALSE(platform::decode_target("i", entry_with("4", address)));
    }
}

TEST_CASE("very deeply nested values end no process [platform]") {
    constexpr std::size_t depth = 1'000'000;
    std::string problem;
    CHECK_FALSE(platform::decode_target("i", nested(depth)));
    CHECK_FALSE(platform::decode_config(nested(depth), problem));
    const std::string arrays(depth, '\x81');
    const std::string maps(depth, '\xa1');
    for (const auto& bytes : {arrays, maps}) {
        CHECK_FALSE(gateway::decode_sync_request(bytes));
        CHECK_FALSE(gateway::decode_sync_reply(bytes));
        CHECK_FALSE(gateway::decode_leader_identity(bytes));
        CHECK_FALSE(gateway::decode_router_record(bytes));
        CHECK_FALSE(gateway::decode_key_map(bytes));
        CHECK_FALSE(gateway::decode_config_update(bytes));
        CHECK_FALSE(gateway::decode_config_request(bytes));
    }
}

TEST_CASE("broken values of the store and of peers are rejected, or decoded in bounds [platform]") {
    gateway::sync_request request;
    request.host = "h1";
    request.limits["t1"] = {1, 2.5, 3, 0.5};
    request.key_loads["s"].counts[7] = 3;
    gateway::sync_reply reply;
    gateway::registry_update registry;
    registry.entries.push_back({"t1", "s", "10.0.0.1:80", "z", 4, false, 0, 1, 2});
    reply.registry = registry;
    reply.limit_shares["t1"] = 2;
    gateway::operator_config config;
    config.version = 3;
    config.routes.push_back({});
    config.routes.back().services.push_back({"s", 1});
    reply.config = gateway::whole_update(config);
    gateway::router_record record;
    record.instances.emplace("h1", gateway::router_instance(3, "10.0.0.1:1"));
    gateway::key_map keys;
    keys.segments = {{0, gateway::key_count - 1, "t1", 5, false, 1, 0}};
    const std::vector<std::string> messages{
        gateway::encode(request),
        gateway::encode(reply),
        gateway::encode(gateway::leader_identity{"h1", "10.0.0.1:1", 1, 2, 3}),
        gateway::encode(record),
        gateway::encode(gateway::key_record{keys, 4}),
        gateway::encode(*reply.config),
        gateway::encode_config_request(7)};
    constexpr unsigned seed = 20261205;
    std::mt19937 random(seed);
    for (int round = 0; round < 20'000; ++round) {
        const auto text = mutated(entry_with("4"), random);
        if (const auto entry = platform::decode_target("i", text)) {
            CHECK(entry->slots >= 1);
            CHECK(entry->slots <= gateway::max_target_slots);
        }
        std::string problem;
        platform::decode_config(mutated(R"({"version":"0c","resources":[{"resourceKind":"routes",
            "metadata":{"name":"r"},"spec":{"host":"h","prefix":"/a/","timeoutMs":1500}}]})",
                                        random),
                                problem);
        platform::decode_base64(mutated("aGVsbG8gd29ybGQ=", random));
        platform::decode_load(mutated("3,1,8,250", random));
        const auto bytes = mutated(messages[random() % messages.size()], random);
        gateway::decode_sync_request(bytes);
        if (const auto decoded = gateway::decode_sync_reply(bytes); decoded && decoded->registry) {
            for (const auto& entry : decoded->registry->entries) {
                CHECK(entry.slots <= gateway::max_target_slots);
            }
        }
        gateway::decode_leader_identity(bytes);
        gateway::decode_router_record(bytes);
        gateway::decode_key_record(bytes);
        gateway::decode_config_update(bytes);
        gateway::decode_config_request(bytes);
    }
}

TEST_CASE("odd entries of another writer cost neither a process nor other entries [fleet]") {
    platform::testing::fleet_fixture fleet;
    fleet.add_default_targets();
    fleet.put_config(3);
    const std::string prefix = platform::wire::target_prefix;
    fleet.store.put(prefix + "odd-1", nested(100'000));
    fleet.store.put(prefix + "odd-2", entry_with("4000000000"));
    fleet.store.put(prefix + "odd-3", entry_with("4", "10.0.0.1:99999"));
    fleet.store.put(prefix + "odd-4", std::string("\x00\xff\xfe", 3));
    for (const auto* host : {"h1", "h2", "h3"}) {
        fleet.start_router(host);
    }
    REQUIRE(fleet.run_until_serving());
    fleet.store.put(prefix + "odd-5", R"({"service":"orders","slots":1e300})");
    fleet.run_for(std::chrono::seconds(2));
    const auto log = fleet.log_of(fleet.leader());
    CHECK(log.find("registry_entry_ignored") != std::string::npos);
    CHECK(log.find("odd-5") != std::string::npos);
    for (const auto* host : {"h1", "h2", "h3"}) {
        CHECK_FALSE(fleet.has_ended(host));
        CHECK(fleet.request_and_wait(host, "/orders/x").status == 200);
    }
}

// One byte of a target's answer to a release ended the leader's process: the handover went into a
// JSON body, whose encoder threw.
TEST_CASE("a handover that is not UTF-8 ends no router, and the keys move [fleet]") {
    platform::testing::fleet_fixture fleet;
    fleet.add_default_targets();
    fleet.put_config(3);
    for (const auto* host : {"h1", "h2", "h3"}) {
        fleet.start_router(host);
    }
    REQUIRE(fleet.run_until_serving());
    auto& leaving = *fleet.targets.at("k1");
    leaving.handover =
        "\xe8"
        "andover-k1";
    leaving.leaving = true;
    fleet.write_store_entry(leaving);
    const auto& successor = *fleet.targets.at("k2");
    CHECK(fleet.run_until(
        [&] { return successor.holds(0) && successor.holds(gateway::key_count - 1); }));
    const auto leader = fleet.leader();
    REQUIRE_FALSE(leader.empty());
    CHECK(fleet.log_of(leader).find("handover_rejected") != std::string::npos);
    for (const auto* host : {"h1", "h2", "h3"}) {
        CHECK_FALSE(fleet.has_ended(host));
        CHECK(fleet.request_and_wait(host, "/status/x").status == 200);
    }
    CHECK(fleet.history.violations.empty());
}

TEST_CASE("a grant with a handover that is not UTF-8 is encoded [platform]") {
    boost::asio::io_context context;
    gateway::call_client calls(context);
    const auto commands = platform::make_key_commands(calls, calls);
    std::error_code outcome;
    CHECK_NOTHROW(
        commands.grant("127.0.0.1:1", {0, 1, "k1", 1, false, 1, 0}, gateway::milliseconds(1000),
                       "\xe8", std::chrono::steady_clock::now() + std::chrono::seconds(1),
                       [&](std::error_code error, const std::string&) { outcome = error; }));
    context.run();
    CHECK(outcome == errc::target_unreachable);
}

TEST_CASE("items that the store was not asked for end no router [fleet]") {
    platform::testing::fleet_fixture fleet;
    fleet.add_default_targets();
    fleet.put_config(3);
    fleet.store.adds_foreign_items = true;
    for (const auto* host : {"h1", "h2", "h3"}) {
        fleet.start_router(host);
    }
    CHECK(fleet.run_until_serving());
    fleet.write_store_entry(*fleet.targets.at("k1"));
    fleet.run_for(std::chrono::seconds(1));
    for (const auto* host : {"h1", "h2", "h3"}) {
        CHECK_FALSE(fleet.has_ended(host));
        CHECK(fleet.request_and_wait(host, "/orders/x").status == 200);
    }
}
