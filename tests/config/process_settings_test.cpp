#include "mimosavalve/config/process_settings.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

namespace cfg = mimosavalve::config;
using namespace std::chrono_literals;

namespace {

const std::string whole =
    "host: entry-1\n"
    "region: bagmati\n"
    "failure_domain: bagmati-a\n"
    "callers: 127.0.0.1:8080\n"
    "peers: 127.0.0.1:8090\n"
    "admin: 127.0.0.1:8091\n"
    "store: 127.0.0.1:7000\n"
    "host_list: 127.0.0.1:7001\n";

std::vector<cfg::settings_fault> faults_of(std::string_view yaml) {
    std::vector<cfg::settings_fault> faults;
    const auto settings = cfg::read_process_settings(yaml, "router.yaml", faults);
    CHECK(settings.has_value() == faults.empty());
    return faults;
}

const cfg::settings_fault* fault_of(const std::vector<cfg::settings_fault>& faults,
                                    std::string_view field) {
    const auto found = std::find_if(faults.begin(), faults.end(),
                                    [&](const auto& fault) { return fault.field == field; });
    return found == faults.end() ? nullptr : &*found;
}

}  // namespace

TEST_CASE("settings with only the required fields get the defaults [process_settings]") {
    std::vector<cfg::settings_fault> faults;
    const auto settings = cfg::read_process_settings(whole, "conf/router.yaml", faults);
    REQUIRE_MESSAGE(settings, cfg::to_string(faults));
    CHECK(settings->host == "entry-1");
    CHECK(settings->advertised_peer == "127.0.0.1:8090");
    CHECK(settings->traffic_threads == 1);
    CHECK(settings->timing.heartbeat == 100ms);
    CHECK(settings->log.format == cfg::log_format::text);
    CHECK(settings->initial_config.empty());
}

TEST_CASE("optional fields override the defaults [process_settings]") {
    std::vector<cfg::settings_fault> faults;
    const auto settings = cfg::read_process_settings(
        whole +
            "traffic_threads: 4\nlog: {level: debug, format: json}\n"
            "timing: {heartbeat_ms: 50, lease_window_ms: 300, start_window_ms: 100}\n"
            "advertised_peer: 127.0.0.9:8090\ninitial_config: fleet.yaml\n",
        "conf/router.yaml", faults);
    REQUIRE_MESSAGE(settings, cfg::to_string(faults));
    CHECK(settings->traffic_threads == 4);
    CHECK(settings->log == cfg::log_settings{cfg::log_level::debug, cfg::log_format::json});
    CHECK(settings->timing.lease_window == 300ms);
    CHECK(settings->timing.store_lease == 1000ms);
    CHECK(settings->advertised_peer == "127.0.0.9:8090");
    CHECK(settings->initial_config == "conf/fleet.yaml");
}

// Guards against a reader that stops at the first fault and makes operators correct one at a time.
TEST_CASE(
    "all faults of a file are listed with line, value and what is allowed "
    "[process_settings]") {
    const auto faults = faults_of(
        "host: bad host\n"
        "region: [bagmati]\n"
        "failure_domain: bagmati-a\n"
        "callers: localhost:8080\n"
        "peers: 127.0.0.1:8090\n"
        "admin: 127.0.0.1:99999\n"
        "store: 127.0.0.1:7000\n"
        "traffic_threads: \"4\"\n"
        "log:\n"
        "  level: loud\n"
        "  colour: red\n"
        "timing: {heartbeat_ms: 0}\n"
        "threads: 3\n");
    REQUIRE(faults.size() == 10);
    const auto check = [&](std::string_view field, cfg::fault_kind kind, std::uint32_t line,
                           std::string_view value) {
        const auto* fault = fault_of(faults, field);
        REQUIRE_MESSAGE(fault != nullptr, field);
        CHECK(fault->kind == kind);
        CHECK(fault->line == line);
        CHECK(fault->value == value);
        CHECK(!fault->allowed.empty());
    };
    check("host", cfg::fault_kind::impossible_value, 1, "bad host");
    check("region", cfg::fault_kind::wrong_type, 2, "(list)");
    check("callers", cfg::fault_kind::impossible_value, 4, "localhost:8080");
    check("admin", cfg::fault_kind::impossible_value, 6, "127.0.0.1:99999");
    check("host_list", cfg::fault_kind::missing_field, 1, "");
    check("traffic_threads", cfg::fault_kind::wrong_type, 8, "4");
    check("log.level", cfg::fault_kind::impossible_value, 10, "loud");
    check("log.colour", cfg::fault_kind::unknown_field, 11, "red");
    check("timing.heartbeat_ms", cfg::fault_kind::impossible_value, 12, "0");
    check("threads", cfg::fault_kind::unknown_field, 13, "3");
}

TEST_CASE("an unknown field at the top is listed with the known ones [process_settings]") {
    const auto faults = faults_of(whole + "threads: 3\n");
    REQUIRE(faults.size() == 1);
    CHECK(cfg::to_string(faults[0]).starts_with("router.yaml:9: field threads: unknown field '3'"));
    CHECK(faults[0].allowed.find("traffic_threads") != std::string::npos);
}

// yaml-cpp keeps both values of a repeated key; which one wins would be a guess.
TEST_CASE("a field given twice is a fault [process_settings]") {
    const auto faults = faults_of(whole + "host: entry-2\n");
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].kind == cfg::fault_kind::repeated_field);
    CHECK(faults[0].line == 9);
}

TEST_CASE("values that exclude each other are faults [process_settings]") {
    CHECK(fault_of(faults_of(whole + "timing: {lease_window_ms: 200}\n"),
                   "timing.lease_window_ms") != nullptr);
    CHECK(fault_of(faults_of(whole + "timing: {start_window_ms: 600}\n"),
                   "timing.start_window_ms") != nullptr);
    CHECK(fault_of(faults_of(whole + "timing: {store_lease_ms: 250}\n"), "timing.store_lease_ms") !=
          nullptr);
    CHECK(fault_of(faults_of(whole + "advertised_peer: 127.0.0.1:0\n"), "advertised_peer") !=
          nullptr);
    auto wildcard = whole;
    wildcard.replace(wildcard.find("127.0.0.1:8090"), 14, "0.0.0.0:8090");
    CHECK(fault_of(faults_of(wildcard), "peers") != nullptr);
    CHECK(faults_of(wildcard + "advertised_peer: 127.0.0.1:8090\n").empty());
    auto clash = whole;
    clash.replace(clash.find("127.0.0.1:8091"), 14, "127.0.0.1:8080");
    CHECK(fault_of(faults_of(clash), "admin") != nullptr);
}

TEST_CASE("text that is not a YAML mapping is one clear fault [process_settings]") {
    CHECK(faults_of("").size() == 1);
    CHECK(faults_of("- a\n- b\n").size() == 1);
    const auto faults = faults_of("host: [1, 2\nregion: x");
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].kind == cfg::fault_kind::syntax);
    CHECK(faults[0].line > 0);
}

TEST_CASE("a file that cannot be read is a fault [process_settings]") {
    std::vector<cfg::settings_fault> faults;
    CHECK(!cfg::load_process_settings("/nonexistent/router.yaml", faults));
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].kind == cfg::fault_kind::unreadable_file);
}

// Guards against exceptions of the YAML library or undefined reads on damaged files.
TEST_CASE("damaged settings never crash and each fault names file and rule [process_settings]") {
    std::mt19937 random(20261204);  // NOLINT(bugprone-random-generator-seed,cert-msc51-cpp)
    const std::string inserts = "{}[]:,&*!|>'\"%@`#-?\n\t 0a\x80\xff";
    for (int round = 0; round < 500; ++round) {
        auto text = whole + "log: {level: info}\ntiming: {heartbeat_ms: 100}\n";
        for (int edit = 0; edit <= round % 8; ++edit) {
            const auto at = random() % text.size();
            if (random() % 2 == 0) {
                text.insert(at, 1, inserts[random() % inserts.size()]);
            } else {
                text.erase(at, 1 + random() % 4);
            }
        }
        for (const auto& fault : faults_of(text)) {
            CHECK(fault.file == "router.yaml");
            CHECK(!fault.allowed.empty());
        }
    }
}
