#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "mimosavalve/config/fleet_config_check.hpp"
#include "mimosavalve/config/fleet_config_codec.hpp"
#include "mimosavalve/config/process_settings.hpp"
#include "mimosavalve/core/error.hpp"

namespace cfg = mimosavalve::config;
using namespace std::chrono_literals;

namespace {

const std::string examples = std::string(MV_SOURCE_DIR) + "/examples/";

cfg::fleet_config repair_service() {
    std::vector<cfg::settings_fault> faults;
    auto config = cfg::load_fleet_config(examples + "repair-service/fleet.yaml", faults);
    REQUIRE_MESSAGE(config, cfg::to_string(faults));
    return *config;
}

std::vector<cfg::settings_fault> faults_of(std::string_view yaml) {
    std::vector<cfg::settings_fault> faults;
    const auto config = cfg::read_fleet_config(yaml, "fleet.yaml", faults);
    CHECK(config.has_value() == faults.empty());
    return faults;
}

std::string line_and_field(const cfg::settings_fault& fault) {
    return std::to_string(fault.line) + " " + fault.field;
}

std::vector<std::string> lines_and_fields(std::string_view yaml) {
    std::vector<std::string> found;
    for (const auto& fault : faults_of(yaml)) {
        found.push_back(line_and_field(fault));
    }
    return found;
}

}  // namespace

TEST_CASE("the examples are valid settings and configurations [fleet_config]") {
    for (const std::string user : {"repair-service", "heating-consortium"}) {
        std::vector<cfg::settings_fault> faults;
        const auto settings = cfg::load_process_settings(examples + user + "/router.yaml", faults);
        REQUIRE_MESSAGE(settings, cfg::to_string(faults));
        const auto config = cfg::load_fleet_config(settings->initial_config, faults);
        REQUIRE_MESSAGE(config, cfg::to_string(faults));
        CHECK(config->version == 1);
        CHECK(config->services.size() == 3);
        CHECK(std::any_of(config->routes.begin(), config->routes.end(),
                          [](const auto& route) { return route.non_idempotent; }));
        CHECK(std::any_of(config->routes.begin(), config->routes.end(),
                          [](const auto& route) { return route.max_body_bytes == 64U << 20U; }));
    }
}

TEST_CASE("a configuration survives encoding with every field [fleet_config]") {
    auto config = repair_service();
    config.version = 9;
    config.accounts[0].home_moving = true;
    config.removed_domains = {"gandaki-b"};
    config.drained_targets = {"status-3"};
    config.rulings = {{"account/ward-4", "hill-clinics", 8}};
    config.applied = {{"op-1", "drain target status-3", "target/status-3", 7}};
    std::error_code error;
    const auto decoded = cfg::decode_fleet_config(cfg::encode(config), error);
    REQUIRE(decoded);
    CHECK(!error);
    CHECK(*decoded == config);
}

// Guards against routers that put a damaged store value in force.
TEST_CASE("bytes that are no consistent configuration are malformed [fleet_config]") {
    std::error_code error;
    CHECK(!cfg::decode_fleet_config("\xff\xff", error));
    CHECK(error == mimosavalve::errc::malformed_message);
    CHECK(!cfg::decode_fleet_config("", error));
    auto config = repair_service();
    config.routes[0].service = "nothing";
    CHECK(!cfg::decode_fleet_config(cfg::encode(config), error));
    config = repair_service();
    config.routes[0].priority = static_cast<cfg::traffic_class>(9);
    CHECK(!cfg::decode_fleet_config(cfg::encode(config), error));
}

TEST_CASE("damaged store values never crash the decoder [fleet_config]") {
    std::mt19937 random(20261204);  // NOLINT(bugprone-random-generator-seed,cert-msc51-cpp)
    const auto bytes = cfg::encode(repair_service());
    for (int round = 0; round < 500; ++round) {
        auto damaged = bytes;
        damaged[random() % damaged.size()] = static_cast<char>(random() % 256);
        damaged.resize(damaged.size() - random() % 3);
        std::error_code error;
        const auto decoded = cfg::decode_fleet_config(damaged, error);
        CHECK(decoded.has_value() == !error);
    }
}

TEST_CASE("references between the lists are checked on their lines [fleet_config]") {
    const auto found = lines_and_fields(
        "shards_per_region: 2\n"
        "regions:\n"
        "  - name: bagmati\n"
        "    failure_domains: [a, b]\n"
        "  - name: gandaki\n"
        "    failure_domains: [b]\n"
        "services:\n"
        "  - name: status\n"
        "  - name: status\n"
        "routes:\n"
        "  - name: status\n"
        "    service: orders\n"
        "accounts:\n"
        "  - name: ward-4\n"
        "    home_regions: [bajio]\n"
        "    requests_per_second: -1\n");
    CHECK(found == std::vector<std::string>{"16 accounts[0].requests_per_second",
                                            "6 regions[1].failure_domains[0]", "9 services[1].name",
                                            "12 routes[0].service",
                                            "15 accounts[0].home_regions[0]"});
}

TEST_CASE(
    "unknown, missing and mistyped fields of the lists are listed together "
    "[fleet_config]") {
    const auto found = lines_and_fields(
        "regions:\n"
        "  - name: bagmati\n"
        "    failure_domains: a\n"
        "  - gandaki\n"
        "services:\n"
        "  - name: status\n"
        "    slots_per_region: 0\n"
        "  - name: files\n"
        "    keyed: false\n"
        "    slots_per_region: 64\n"
        "  - keyed: maybe\n"
        "routes:\n"
        "  - name: status\n"
        "    service: status\n"
        "    timeout_ms: 2s\n"
        "    retries: 3\n"
        "    priority: bulk\n"
        "account: []\n");
    const std::vector<std::string> expected{"3 regions[0].failure_domains",
                                            "4 regions[1]",
                                            "7 services[0].slots_per_region",
                                            "10 services[1].slots_per_region",
                                            "11 services[2].name",
                                            "11 services[2].keyed",
                                            "17 routes[0].priority",
                                            "15 routes[0].timeout_ms",
                                            "16 routes[0].retries",
                                            "18 account"};
    for (const auto& each : expected) {
        CHECK_MESSAGE(std::count(found.begin(), found.end(), each) == 1, each);
    }
    CHECK(found.size() == expected.size());
}

TEST_CASE("damaged configurations never crash and every fault names a rule [fleet_config]") {
    std::mt19937 random(20261204);  // NOLINT(bugprone-random-generator-seed,cert-msc51-cpp)
    const std::string whole =
        "regions:\n  - name: bagmati\n    failure_domains: [a, b]\n"
        "services:\n  - name: status\nroutes:\n  - name: s\n    service: status\n";
    const std::string inserts = "{}[]:,&*!|>'\"%@`#-?\n\t 0a\x80\xff";
    for (int round = 0; round < 500; ++round) {
        auto text = whole;
        for (int edit = 0; edit <= round % 6; ++edit) {
            const auto at = random() % text.size();
            if (random() % 2 == 0) {
                text.insert(at, 1, inserts[random() % inserts.size()]);
            } else {
                text.erase(at, 1 + random() % 4);
            }
        }
        for (const auto& fault : faults_of(text)) {
            CHECK(fault.file == "fleet.yaml");
            CHECK(!fault.allowed.empty());
        }
    }
}

TEST_CASE("names that the command language would read otherwise are faults [fleet_config]") {
    auto config = repair_service();
    config.regions[0].name = "any";
    CHECK(cfg::inconsistencies_of(config).front().field == "regions[0].name");
    config = repair_service();
    config.routes[0].name = "--id";
    CHECK(cfg::inconsistencies_of(config).front().field == "routes[0].name");
}

// Guards against a stack overflow in the YAML library.
TEST_CASE("deeply nested YAML is a fault [fleet_config]") {
    for (const auto* opening : {"[", "{a: ", "- ", "? "}) {
        std::string text;
        for (int each = 0; each < 50'000; ++each) {
            text += opening;
        }
        CHECK(!faults_of(text).empty());
    }
}
