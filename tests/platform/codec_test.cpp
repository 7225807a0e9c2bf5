#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>

#include "base64.hpp"
#include "config_codec.hpp"
#include "notice_codec.hpp"
#include "platform_settings.hpp"

using namespace mimosavalve;

namespace {

const std::string config_text = R"({"version":"0000000c","resources":[
 {"resourceKind":"routes","metadata":{"name":"r1"},"spec":{"host":"h","prefix":"/a/","kind":"safe",
  "timeoutMs":1500,"targetLatencyMs":800,"priority":2,"maxAttempts":2,
  "trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"allowedRegions":[]}},
 {"resourceKind":"routes","metadata":{"name":"r2"},"spec":{"host":"h","prefix":"/b/",
  "kind":"new-kind","service":"s1","timeoutMs":1,"maxAttempts":1,"allowedRegions":["north"]}},
 {"resourceKind":"services","metadata":{"name":"s1"},"spec":{"healthPath":"/up",
  "maxConnections":130,"warmupS":3.0,"warmupPerS":5.0,"sharded":true,"grants":"call"}},
 {"resourceKind":"services","metadata":{"name":"s2"},"spec":{}},
 {"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":100,"idleTimeoutMs":9000}}]})";

}  // namespace

TEST_CASE("a configuration is decoded into the product's own types [platform]") {
    std::string problem;
    const auto config = platform::decode_config(config_text, problem);
    REQUIRE(config);
    CHECK(config->version == 12);
    REQUIRE(config->routes.size() == 2);
    CHECK(config->routes[0].kind == gateway::request_kind::idempotent);
    CHECK(config->routes[0].services.size() == 2);
    CHECK(config->routes[1].kind == gateway::request_kind::non_idempotent);
    CHECK(config->routes[1].home_regions == std::vector<std::string>{"north"});
    CHECK(config->services.at("s1").keyed);
    CHECK(config->services.at("s1").cold_time == std::chrono::milliseconds(3000));
    CHECK(config->limits.max_header_bytes == 100);
    CHECK(config->limits.idle_timeout == std::chrono::milliseconds(9000));
}

TEST_CASE("each kind of request is decoded [platform]") {
    using gateway::request_kind;
    const std::pair<std::string, request_kind> kinds[] = {
        {"safe", request_kind::idempotent},      {"unsafe", request_kind::non_idempotent},
        {"upload", request_kind::upload},        {"download", request_kind::download},
        {"other", request_kind::non_idempotent},
    };
    for (const auto& each : kinds) {
        const auto& word = each.first;
        const auto kind = each.second;
        CAPTURE(word);
        std::string problem;
        const auto config = platform::decode_config(
            R"({"version":"01","resources":[{"resourceKind":"routes","metadata":{"name":"r"},)"
            R"("spec":{"host":"h","prefix":"/","service":"s","kind":")" +
                word + R"("}}]})",
            problem);
        REQUIRE(config);
        CHECK(config->routes.at(0).kind == kind);
        CHECK(gateway::is_idempotent(kind) == (word == "safe" || word == "download"));
    }
}

TEST_CASE("an invalid configuration is rejected with a reason [platform]") {
    for (const auto* text : {"", "7", "[]", "{}", R"({"version":"xyz"})", R"({"version":12})",
                             R"({"version":"0c","resources":[7]})"}) {
        std::string problem;
        CHECK_FALSE(platform::decode_config(text, problem));
        CHECK_FALSE(problem.empty());
    }
}

TEST_CASE("entries with missing fields or fields of the wrong type are rejected [platform]") {
    const std::string valid_entry =
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":"ready",)"
        R"("warmupLeftMs":0,"sequence":4,"born":1700000000000})";
    const auto entry = platform::decode_target("i-1", valid_entry);
    REQUIRE(entry);
    CHECK(entry->failure_domain == "z");
    CHECK(entry->started_unix_ms == 1'700'000'000'000);
    CHECK_FALSE(platform::decode_target("", valid_entry));
    const auto decode_replaced = [&](const std::string& from, const std::string& to) {
        auto text = valid_entry;
        text.replace(text.find(from), from.size(), to);
        return platform::decode_target("i-1", text);
    };
    CHECK(decode_replaced("ready", "draining")->leaving);
    CHECK_FALSE(decode_replaced("ready", "asleep"));
    CHECK_FALSE(decode_replaced("10.0.0.1:80", "10.0.0.1"));
    CHECK_FALSE(decode_replaced("\"slots\":4", "\"slots\":\"4\""));
    CHECK_FALSE(decode_replaced("\"slots\":4,", ""));
    CHECK_FALSE(decode_replaced("\"sequence\":4", "\"sequence\":-1"));
    CHECK_FALSE(decode_replaced("1700000000000", "1.5"));
    CHECK_FALSE(decode_replaced("{", "<"));
}

TEST_CASE("a load report has three numbers and optionally the slowdown [platform]") {
    const auto load = platform::decode_load("3,1,8,250");
    REQUIRE(load);
    CHECK(load->running == 3);
    CHECK(load->waiting == 1);
    CHECK(load->slots == 8);
    CHECK(load->slowdown == 2.5);
    CHECK(platform::decode_load("3,0,8")->slowdown == 1);
    for (const auto* text : {"", "3", "3,1", "a,b,c", "3,1,x"}) {
        CHECK_FALSE(platform::decode_load(text));
    }
}

TEST_CASE("base64 encodes and decodes arbitrary bytes [platform]") {
    const std::string bytes("\0\xff mimosa\n", 10);
    CHECK(platform::decode_base64(platform::encode_base64(bytes)) == bytes);
    CHECK(platform::encode_base64("node-1") == "bm9kZS0x");
}

TEST_CASE("settings are read with their bounds; a missing field is an error [platform]") {
    const auto path = std::filesystem::temp_directory_path() /
                      ("mv-settings-" +
                       std::to_string(std::chrono::steady_clock::now().time_since_epoch().count()));
    const std::string valid_settings = R"(node: "h1"
zone: "z1"
region: "north"
zones: {z1: "north", z2: "south"}
ip: "10.0.0.1"
listen: {front: "10.0.0.1:80", ready: "10.0.0.1:81", control: "10.0.0.1:82"}
internalPorts: [7540, 7555]
limits: {maxFds: 4100, cpuShare: 0.25, cores: 2}
bounds: {drainMs: 2000, graceS: 5, retryBudgetRatio: 0.1, budgetExtraRetries: 7}
platform: {address: "10.0.0.9:85", ttlMinMs: 500}
unknown: 7
)";
    std::ofstream(path) << valid_settings;
    std::string problem;
    const auto settings = platform::read_settings(path.string(), problem);
    REQUIRE(settings);
    CHECK(settings->peer_address == "10.0.0.1:7540");
    CHECK(settings->metrics_address == "10.0.0.1:7541");
    CHECK(settings->forward_address == "10.0.0.1:7542");
    CHECK(settings->capacity == doctest::Approx(0.5));
    CHECK(settings->bounds.leave_time == std::chrono::milliseconds(2000));
    CHECK(settings->bounds.stop_time == std::chrono::milliseconds(5000));
    CHECK(settings->bounds.extra_retries_per_window == 7);
    CHECK(settings->regions.at("z2") == "south");
    std::ofstream(path) << valid_settings.substr(valid_settings.find("zone:"));
    CHECK_FALSE(platform::read_settings(path.string(), problem));
    CHECK(problem.find(path.string()) != std::string::npos);
    std::filesystem::remove(path);
    CHECK_FALSE(platform::read_settings(path.string(), problem));
}

TEST_CASE("the limit that an answer names is read, and an absurd one reported [platform]") {
    const auto decode = [](const std::string& value) {
        gateway::message_head head;
        head.fields.push_back({"server-limit", value});
        return platform::decode_notice(head);
    };
    CHECK(decode("2.7").request_limit == 2.7);
    CHECK(decode("2.7").problem.empty());
    CHECK_FALSE(platform::decode_notice({}).request_limit);
    for (const auto* odd : {"", "-1", "nan", "inf", "1e9999", "99999999999", "0", "five", "3 "}) {
        CAPTURE(odd);
        const auto notice = decode(odd);
        CHECK(notice.request_limit);
        CHECK_FALSE(notice.problem.empty());
    }
}

TEST_CASE("only a refusal with a number of seconds asks for a pause [platform]") {
    const auto decode = [](const std::string& value, unsigned status = 503) {
        gateway::message_head head;
        head.status = status;
        head.fields.push_back({"retry-after", value});
        return platform::decode_notice(head);
    };
    CHECK(decode("2").pause == std::chrono::milliseconds(2000));
    CHECK(decode("0.25").pause == std::chrono::milliseconds(250));
    CHECK(decode("2").problem.empty());
    CHECK_FALSE(decode("2", 200).pause);
    CHECK_FALSE(decode("2", 429).pause);
    CHECK_FALSE(platform::decode_notice({}).pause);
    for (const auto* odd : {"", "-1", "nan", "soon", "Sat, 05 Dec 2026 13:00:00 GMT"}) {
        CAPTURE(odd);
        CHECK_FALSE(decode(odd).pause);
        CHECK_FALSE(decode(odd).problem.empty());
    }
    CHECK(decode("99999999999999999999").pause == gateway::max_pause);
    CHECK_FALSE(decode("99999999999999999999").problem.empty());
}

TEST_CASE("an answer says that its target leaves only with the value 1 [platform]") {
    const auto decode = [](const std::string& value) {
        gateway::message_head head;
        head.fields.push_back({"Server-Leaving", value});
        return platform::decode_notice(head);
    };
    CHECK(decode("1").leaving);
    CHECK(decode("1").problem.empty());
    CHECK_FALSE(decode("0").leaving);
    CHECK_FALSE(decode("yes").problem.empty());
}
