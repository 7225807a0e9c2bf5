#include "mimosavalve/command/execute.hpp"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "mimosavalve/core/error.hpp"
#include "mimosavalve/observe/event_log.hpp"
#include "mimosavalve/ownership/slot.hpp"

namespace cmd = mimosavalve::command;
namespace cfg = mimosavalve::config;
namespace own = mimosavalve::ownership;
namespace obs = mimosavalve::observe;
using mimosavalve::errc;
using mimosavalve::steady_time;
using mimosavalve::traffic_verdict;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t slots = 64;

std::shared_ptr<cfg::fleet_config> configuration() {
    auto config = std::make_shared<cfg::fleet_config>();
    config->version = 5;
    config->regions = {{"bagmati", {"bagmati-a", "bagmati-b"}}, {"gandaki", {"gandaki-a"}}};
    config->services = {{"status", true, slots, true}, {"files", false, slots, false}};
    config->routes = {{"status", "status", cfg::traffic_class::status, false},
                      {"recordings", "files", cfg::traffic_class::upload, false}};
    config->accounts = {{"ward-4", {"bagmati"}, 100}, {"open", {}, 0}};
    config->drained_targets = {"t-2"};
    config->rulings = {{"account/ward-4", "north", 3}};
    config->applied = {{"op-1", "drain target t-2", "target/t-2", 5}};
    return config;
}

own::target target(std::string id, std::string domain) {
    own::target out;
    out.id = std::move(id);
    out.service = "status";
    out.address = "127.0.0.1:9001";
    out.failure_domain = std::move(domain);
    return out;
}

std::shared_ptr<own::shard_state> shard(const std::string& region) {
    auto state = std::make_shared<own::shard_state>();
    state->shard = {region, 0};
    state->at = {2, 7};
    state->leader = {"entry-1", 9};
    state->config_version = 5;
    state->targets = {target("t-1", region + "-a"), target("t-2", region + "-b")};
    own::assign(*state, "status", 0, slots, "t-1", {2, 1});
    own::assign(*state, "status", 60, 4, "t-2", {2, 7});
    state->hot_keys = {{"status", "ward-4/hot", "t-2", {2, 2}, ""}};
    return state;
}

struct fixture {
    cmd::command_context context;
    std::shared_ptr<cfg::fleet_config> config = configuration();
    cmd::change_outcome next_outcome;
    std::optional<cmd::change_request> submitted;
    obs::event_query asked_events;
    obs::event_log log{{"entry-1", 9}};
    cmd::wait_answer waited;

    fixture() {
        context.host = "entry-1";
        context.region = "bagmati";
        context.fleet_config = [this] { return config; };
        context.shards = [] {
            return std::vector<cmd::shard_report>{
                {shard("bagmati"), {2, 6}, 1'796'366'400'250, steady_time(10s)}};
        };
        context.routers = [] {
            return std::vector<cmd::router_report>{{{"entry-1", 9},
                                                    "bagmati",
                                                    "bagmati-a",
                                                    "127.0.0.1:8090",
                                                    5,
                                                    {{{"bagmati", 0}, {2, 7}}}},
                                                   {{"entry-2", 4},
                                                    "bagmati",
                                                    "bagmati-b",
                                                    "127.0.0.1:8190",
                                                    4,
                                                    {{{"bagmati", 0}, {2, 5}}}}};
        };
        context.counters = [] { return std::vector<cmd::status_counter>{{"requests", 12}}; };
        context.config_in_force = [] { return std::uint64_t{4}; };
        context.wait_in_force = [this](auto, auto, auto handler) { handler(waited); };
        context.query_events = [this](auto query, auto, auto handler) {
            asked_events = query;
            handler({{log.query(query)}, {"entry-3"}});
        };
        const auto submit = [this](auto request, auto, auto handler) {
            submitted = std::move(request);
            handler(next_outcome);
        };
        context.submit_change = submit;
        context.try_change = submit;
        context.make_identity = [] { return std::string("made-1"); };
        context.now = [] { return steady_time(5s); };
        context.unix_ms = [] { return std::uint64_t{1'000'000}; };
    }

    cmd::command_result run(std::string_view text) {
        std::optional<cmd::command_result> out;
        cmd::execute(text, context, [&](auto result) { out = std::move(result); });
        REQUIRE(out);
        for (const auto& row : out->content.rows) {
            REQUIRE(row.size() == out->content.columns.size());
        }
        return *std::move(out);
    }

    nlohmann::json rows(std::string_view text) {
        const auto result = run(text);
        REQUIRE_MESSAGE(result.how == cmd::outcome::done, result.message);
        return nlohmann::json::parse(cmd::to_json(result)).at("rows");
    }
};

}  // namespace

TEST_CASE("the owner of a key is found by region, slot and hot key [execute]") {
    fixture test;
    const auto hot = test.rows("show owner of key status ward-4/hot");
    REQUIRE(hot.size() == 1);
    CHECK(hot[0].at("owner") == "t-2");
    CHECK(hot[0].at("hot_key") == true);
    CHECK(hot[0].at("active") == true);
    const auto plain = test.rows("show owner of key status ward-4/17");
    CHECK(plain[0].at("slot") == own::slot_of("status", "ward-4", "17", slots));
    CHECK(plain[0].at("region") == "bagmati");
    CHECK(plain[0].at("hot_key") == false);
}

TEST_CASE("an owner whose predecessor may still serve is not active [execute]") {
    fixture test;
    const auto rows = test.rows("show owner of slot status bagmati 61");
    CHECK(rows[0].at("owner") == "t-2");
    CHECK(rows[0].at("previous_owner") == "t-1");
    CHECK(rows[0].at("active") == false);
    CHECK(rows[0].at("fence") == "2.7");
}

TEST_CASE("questions about what does not exist are refused [execute]") {
    fixture test;
    for (const auto* text :
         {"show owner of key parts ward-4/1", "show owner of key recordings ward-4/1",
          "show owner of slot orders bagmati 1", "show owner of slot files bagmati 1",
          "show owner of slot status bagmati 64", "show owner of slot status gandaki 1"}) {
        const auto result = test.run(text);
        CHECK_MESSAGE(result.how == cmd::outcome::refused, text);
        CHECK(!result.message.empty());
    }
}

TEST_CASE("slots of a target list its runs and hot keys [execute]") {
    fixture test;
    const auto rows = test.rows("show slots of target t-2");
    REQUIRE(rows.size() == 2);
    CHECK(rows[0].at("slots") == "60-63");
    CHECK(rows[1].at("key") == "ward-4/hot");
    CHECK(test.rows("show slots of target t-9").empty());
}

TEST_CASE("an account is shown with the regions it may live in [execute]") {
    fixture test;
    const auto bound = test.rows("show account ward-4");
    CHECK(bound[0].at("home") == "bagmati");
    CHECK(bound[0].at("limit") == 100.0);
    test.config->accounts[0].home_moving = true;
    CHECK(test.rows("show account ward-4")[0].at("activated") == false);
    CHECK(test.rows("show account open")[0].at("regions") == "bagmati,gandaki");
    CHECK(test.rows("show account nobody")[0].at("listed") == false);
}

TEST_CASE("the configuration is shown as a whole and in parts [execute]") {
    fixture test;
    CHECK(test.run("show config").version == 5);
    CHECK(test.rows("show config").size() == 10);
    CHECK(test.rows("show config services")[0].at("settings") ==
          "keyed yes slots 64 checks-fence yes");
    CHECK(test.rows("show config routes").size() == 2);
    CHECK(test.rows("show config drains")[0].at("name") == "t-2");
    CHECK(test.rows("show config commands")[0].at("command") == "drain target t-2");
    CHECK(test.rows("show rulings")[0].at("since_version") == 3);
}

TEST_CASE("versions in force are shown with the routers that lag [execute]") {
    fixture test;
    const auto rows = test.rows("show in-force");
    CHECK(rows[0].at("in_force") == "2.6");
    CHECK(rows[0].at("held") == "2.7");
    CHECK(rows[0].at("since") == "2026-12-04T06:40:00.250Z");
    CHECK(rows[0].at("serving") == true);
    CHECK(rows[0].at("laggards") == "entry-2");
    CHECK(test.rows("show routers")[1].at("shards") == "bagmati/0@2.5");
    CHECK(test.rows("status")[0].at("value") == 12);
    const auto targets = test.rows("show targets");
    REQUIRE(targets.size() == 2);
    CHECK(targets[0].at("owned_slots") == 60);
    CHECK(targets[1].at("drained") == true);
}

TEST_CASE("explain asks for all subjects of a key and names silent hosts [execute]") {
    fixture test;
    const auto slot = own::slot_of("status", "ward-4", "17", slots);
    obs::event_record record;
    record.subject = "slots/status/bagmati/0-63";
    record.kind = obs::event_kind::move;
    record.unix_ms = 950'000;
    test.log.append(record);
    record.unix_ms = 100;
    test.log.append(record);
    const auto result = test.run("explain key ward-4/17 since 1m");
    CHECK(result.message == "incomplete; no answer from: entry-3");
    CHECK(result.content.rows.size() == 1);
    CHECK(test.asked_events.since_unix_ms == 940'000);
    CHECK(test.asked_events.asking_region == "bagmati");
    CHECK(test.asked_events.subjects ==
          std::vector<std::string>{"key/ward-4/17", "account/ward-4",
                                   "slot/status/bagmati/" + std::to_string(slot)});
    test.run("explain request r-1");
    CHECK(test.asked_events.subjects == std::vector<std::string>{"request/r-1"});
    CHECK(test.asked_events.since_unix_ms == 0);
}

TEST_CASE("wait names the laggards [execute]") {
    fixture test;
    test.waited = {false, {"entry-2", "entry-3"}};
    const auto late = test.run("wait 5 within 300ms");
    CHECK(late.how == cmd::outcome::refused);
    CHECK(late.message == "version 5 is not in force after 300 ms; laggards: entry-2, entry-3");
    test.waited = {true, {}};
    CHECK(test.run("wait 5").how == cmd::outcome::done);
}

TEST_CASE("the answer to a change says what became of it [execute]") {
    fixture test;
    test.next_outcome = {traffic_verdict::ran, 6, false, std::nullopt, {}};
    auto result = test.run("drain target t-1");
    CHECK(result.how == cmd::outcome::done);
    CHECK(result.version == 6);
    CHECK(result.id == "made-1");
    CHECK(test.submitted->id == "made-1");
    CHECK(!test.submitted->based_on);
    test.next_outcome = {traffic_verdict::may_have_run, 0, false, std::nullopt,
                         errc::store_unavailable};
    result = test.run("drain target t-1 --id op-9 --based-on 3");
    CHECK(result.how == cmd::outcome::may_have_run);
    CHECK(result.message.find("--id op-9") != std::string::npos);
    CHECK(test.submitted->based_on == 3U);
    test.next_outcome.verdict = traffic_verdict::not_run;
    CHECK(test.run("drain target t-1").how == cmd::outcome::unreachable);
    test.next_outcome = {};
    test.next_outcome.refused =
        cmd::refusal{cmd::refusal_reason::conflict, "changed x", 4, "op-3", "drain target t-1"};
    result = test.run("drain target t-1");
    CHECK(result.how == cmd::outcome::refused);
    CHECK(result.version == 4);
    CHECK(result.message.find("op-3") != std::string::npos);
}

// Activating before the first step is in force would let two regions serve one account.
TEST_CASE("an activation is based on the version that is in force everywhere [execute]") {
    fixture test;
    test.run("activate account ward-4");
    CHECK(test.submitted->based_on == 4U);
    test.run("activate account ward-4 --based-on 5");
    CHECK(test.submitted->based_on == 4U);
    test.run("activate account ward-4 --based-on 2");
    CHECK(test.submitted->based_on == 2U);
}

TEST_CASE("a router without a configuration answers no query [execute]") {
    fixture test;
    test.config = nullptr;
    CHECK(test.run("show targets").how == cmd::outcome::unreachable);
    CHECK(test.run("shwo").how == cmd::outcome::bad_command);
}
