#include "mimosavalve/command/config_bootstrap.hpp"

#include <doctest/doctest.h>

#include "mimosavalve/config/fleet_config_codec.hpp"
#include "operators/simulated_store.hpp"

namespace cmd = mimosavalve::command;
namespace cfg = mimosavalve::config;
using mimosavalve::errc;
using namespace std::chrono_literals;

namespace {

cfg::fleet_config initial(const std::string& region) {
    cfg::fleet_config config;
    config.version = 1;
    config.regions = {{region, {region + "-a"}}};
    return config;
}

struct answer {
    std::error_code error;
    cmd::stored_config stored;
};

struct fixture {
    mimosavalve::testing::virtual_clock clock;
    mimosavalve::testing::simulated_store store{clock, 20261204};
    cmd::writer_environment environment{
        store.port(), [this] { return clock.now(); },
        [this](auto delay, auto action) { clock.after(delay, std::move(action)); }};
    std::vector<answer> answers;

    void start(std::optional<cfg::fleet_config> config) {
        cmd::load_or_record_config(environment, std::move(config), clock.now() + 20s,
                                   [this](auto error, auto stored) {
                                       answers.push_back({error, std::move(stored)});
                                   });
    }
};

}  // namespace

// Guards against routers that start with different configurations.
TEST_CASE("of processes that start together one records its configuration [config_bootstrap]") {
    fixture test;
    test.store.faults.lost_answer = 30;
    test.store.faults.delayed_call = 20;
    for (const auto* region : {"bagmati", "gandaki", "bajio"}) {
        test.start(initial(region));
    }
    test.clock.run();
    REQUIRE(test.answers.size() == 3);
    CHECK(test.store.writes().size() == 1);
    for (const auto& each : test.answers) {
        CHECK(!each.error);
        CHECK(each.stored.config == test.answers.front().stored.config);
        CHECK(each.stored.revision == 1);
    }
}

TEST_CASE("a stored configuration is not replaced by the initial one [config_bootstrap]") {
    fixture test;
    test.store.put(cfg::encode(initial("bagmati")));
    test.start(initial("gandaki"));
    test.clock.run();
    REQUIRE(test.answers.size() == 1);
    CHECK(test.answers[0].stored.config == initial("bagmati"));
}

TEST_CASE(
    "without any configuration, with a damaged one and without a store there is an error "
    "[config_bootstrap]") {
    fixture test;
    test.start(std::nullopt);
    test.clock.run();
    test.store.put("\xff");
    test.start(initial("bagmati"));
    test.clock.run();
    test.store.down = true;
    test.start(initial("bagmati"));
    test.clock.run();
    REQUIRE(test.answers.size() == 3);
    CHECK(test.answers[0].error == errc::not_found);
    CHECK(test.answers[1].error == errc::malformed_message);
    CHECK(test.answers[2].error == errc::store_unavailable);
}
