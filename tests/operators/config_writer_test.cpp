#include "mimosavalve/command/config_writer.hpp"

#include <doctest/doctest.h>

#include "mimosavalve/command/parser.hpp"
#include "mimosavalve/config/fleet_config_codec.hpp"
#include "operators/simulated_store.hpp"

namespace cmd = mimosavalve::command;
namespace cfg = mimosavalve::config;
using mimosavalve::errc;
using mimosavalve::traffic_verdict;
using namespace std::chrono_literals;

namespace {

cfg::fleet_config initial() {
    cfg::fleet_config config;
    config.version = 1;
    config.regions = {{"bagmati", {"bagmati-a"}}};
    config.accounts = {{"ward-4", {}, 100}};
    return config;
}

struct fixture {
    mimosavalve::testing::virtual_clock clock;
    mimosavalve::testing::simulated_store store{clock, 20261204};
    cmd::writer_environment environment{
        store.port(), [this] { return clock.now(); },
        [this](auto delay, auto action) { clock.after(delay, std::move(action)); }};
    std::optional<cmd::change_outcome> outcome;

    fixture() { store.put(cfg::encode(initial())); }

    static cmd::change_request request(std::string_view text, std::string id) {
        const auto parsed = cmd::parse(text);
        return {std::get<cmd::change_command>(std::get<cmd::command>(parsed)).what, std::move(id),
                std::nullopt};
    }

    void submit(std::string_view text, std::string id) {
        outcome.reset();
        cmd::submit_change(environment, request(text, std::move(id)), clock.now() + 5s,
                           [this](auto result) { outcome = std::move(result); });
    }

    [[nodiscard]] cfg::fleet_config stored() const {
        std::error_code error;
        auto config = cfg::decode_fleet_config(store.writes().back().value, error);
        REQUIRE(config);
        return *config;
    }
};

}  // namespace

TEST_CASE("a change is acknowledged when the store has it [config_writer]") {
    fixture test;
    test.submit("drain target t-1", "op-1");
    test.clock.run();
    REQUIRE(test.outcome);
    CHECK(test.outcome->verdict == traffic_verdict::ran);
    CHECK(test.outcome->version == 2);
    CHECK(!test.outcome->repeated);
    CHECK(test.stored().drained_targets.size() == 1);
}

TEST_CASE("a change that loses the revision is decided again [config_writer]") {
    fixture test;
    std::vector<cmd::change_outcome> outcomes;
    const auto collect = [&](auto result) { outcomes.push_back(std::move(result)); };
    const auto deadline = test.clock.now() + 5s;
    for (const auto* id : {"op-1", "op-2"}) {
        cmd::submit_change(test.environment, fixture::request("set limit ward-4 5", id), deadline,
                           collect);
        cmd::submit_change(
            test.environment,
            fixture::request("drain target t-" + std::string(id), "d-" + std::string(id)), deadline,
            collect);
    }
    test.clock.run();
    REQUIRE(outcomes.size() == 4);
    int refusals = 0;
    for (const auto& each : outcomes) {
        if (each.refused) {
            ++refusals;
            CHECK(each.verdict == traffic_verdict::not_run);
            CHECK(each.refused->reason == cmd::refusal_reason::conflict);
        }
    }
    CHECK(refusals == 1);
    CHECK(test.stored().version == 4);
}

// Guards against repeating the effect, and against reporting a failure, when only the answer was
// lost.
TEST_CASE("a change whose answer is lost is recognised by its identity [config_writer]") {
    fixture test;
    test.submit("drain target t-1", "op-1");
    // The read is under way with its answer; from its answer on, answers are lost for a while.
    test.store.faults.lost_answer = 100;
    test.clock.after(1500ms, [&] { test.store.faults.lost_answer = 0; });
    test.clock.run();
    REQUIRE(test.outcome);
    CHECK(test.outcome->verdict == traffic_verdict::ran);
    CHECK(test.outcome->version == 2);
    CHECK(!test.outcome->repeated);
    CHECK(test.store.writes().size() == 2);
}

TEST_CASE(
    "a repeat of a recorded change answers its version and writes nothing "
    "[config_writer]") {
    fixture test;
    test.submit("drain target t-1", "op-1");
    test.clock.run();
    test.submit("drain target t-1", "op-1");
    test.clock.run();
    CHECK(test.outcome->verdict == traffic_verdict::ran);
    CHECK(test.outcome->version == 2);
    CHECK(test.outcome->repeated);
    CHECK(test.store.writes().size() == 2);
}

TEST_CASE("a change is not run when the store cannot be reached [config_writer]") {
    fixture test;
    test.store.down = true;
    const auto deadline = test.clock.now() + 6s;
    test.submit("drain target t-1", "op-1");
    test.clock.run();
    REQUIRE(test.outcome);
    CHECK(test.outcome->verdict == traffic_verdict::not_run);
    CHECK(test.outcome->error == errc::store_unavailable);
    CHECK(test.clock.now() <= deadline);
    CHECK(test.store.writes().size() == 1);
}

// Guards against calling a write not run that takes effect after its last answer.
TEST_CASE(
    "a change is undecided when the store is lost after the write was sent "
    "[config_writer]") {
    fixture test;
    test.submit("drain target t-1", "op-1");
    test.store.faults.lost_answer = 100;
    test.clock.run();
    REQUIRE(test.outcome);
    CHECK(test.outcome->verdict == traffic_verdict::may_have_run);
    CHECK(test.store.writes().size() == 2);
    test.store.faults.lost_answer = 0;
    test.submit("drain target t-1", "op-1");
    test.clock.run();
    CHECK(test.outcome->verdict == traffic_verdict::ran);
    CHECK(test.outcome->version == 2);
    CHECK(test.store.writes().size() == 2);
}

TEST_CASE("a dry run decides and writes nothing [config_writer]") {
    fixture test;
    cmd::try_change(test.environment, fixture::request("drain target t-1", "op-1"),
                    test.clock.now() + 5s, [&](auto result) { test.outcome = std::move(result); });
    test.clock.run();
    REQUIRE(test.outcome);
    CHECK(test.outcome->verdict == traffic_verdict::not_run);
    CHECK(test.outcome->version == 2);
    CHECK(!test.outcome->refused);
    CHECK(test.store.writes().size() == 1);
}

TEST_CASE(
    "a missing or damaged configuration is an error and nothing is written "
    "[config_writer]") {
    fixture test;
    test.store.put("\xff");
    test.submit("drain target t-1", "op-1");
    test.clock.run();
    CHECK(test.outcome->error == errc::malformed_message);
    CHECK(test.outcome->verdict == traffic_verdict::not_run);
    CHECK(test.store.writes().size() == 2);
}
