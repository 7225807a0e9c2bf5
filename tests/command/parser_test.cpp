#include "mimosavalve/command/parser.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <random>

#include "mimosavalve/command/scope.hpp"

namespace cmd = mimosavalve::command;
namespace cfg = mimosavalve::config;
using namespace std::chrono_literals;

namespace {

cmd::command parsed(std::string_view text) {
    auto out = cmd::parse(text);
    const auto* error = std::get_if<cmd::parse_error>(&out);
    REQUIRE_MESSAGE(error == nullptr, cmd::to_string(*error, text));
    return std::get<cmd::command>(out);
}

template <typename Query>
Query query_of(std::string_view text) {
    return std::get<Query>(std::get<cmd::query>(parsed(text)));
}

template <typename Change>
Change change_of(std::string_view text) {
    return std::get<Change>(std::get<cmd::change_command>(parsed(text)).what);
}

cmd::parse_error error_of(std::string_view text) {
    auto out = cmd::parse(text);
    REQUIRE_MESSAGE(std::holds_alternative<cmd::parse_error>(out), text);
    return std::get<cmd::parse_error>(out);
}

}  // namespace

TEST_CASE("each query is read into its type [parser]") {
    CHECK(query_of<cmd::show_key_owner>("show owner of key status ward-4/repair/17") ==
          cmd::show_key_owner{"status", "ward-4", "repair/17"});
    CHECK(query_of<cmd::show_key_owner>("show owner of key status \"ward-4/a b \\\"c\\\"\"").id ==
          "a b \"c\"");
    CHECK(query_of<cmd::show_slot_owner>("show owner of slot status bagmati 12") ==
          cmd::show_slot_owner{"status", "bagmati", 12});
    CHECK(query_of<cmd::show_target_slots>("show slots of target status-3").target == "status-3");
    CHECK(query_of<cmd::show_account>("show account ward-4").account == "ward-4");
    CHECK(query_of<cmd::show_config>("show config").field == cmd::config_field::all);
    CHECK(query_of<cmd::show_config>("show config drains").field == cmd::config_field::drains);
    CHECK(query_of<cmd::show_overview>("show in-force").what == cmd::overview::in_force);
    CHECK(query_of<cmd::show_overview>("show targets").what == cmd::overview::targets);
    CHECK(query_of<cmd::show_overview>("show routers").what == cmd::overview::routers);
    CHECK(query_of<cmd::show_overview>("show rulings").what == cmd::overview::rulings);
    CHECK(query_of<cmd::show_overview>("  status\t").what == cmd::overview::status);
    CHECK(query_of<cmd::explain>("explain key ward-4/17 since 10m") ==
          cmd::explain{cmd::subject_kind::key, "ward-4/17", cmd::since_time{0, 10min}});
    CHECK(query_of<cmd::explain>("explain request 4f-2 since 1796366400000").since ==
          cmd::since_time{1796366400000, 0ms});
    CHECK(!query_of<cmd::explain>("explain target status-3").since);
    CHECK(query_of<cmd::wait_version>("wait 12 within 3s") == cmd::wait_version{12, 3s});
    CHECK(query_of<cmd::wait_version>("wait 12").within == 10s);
}

TEST_CASE("each change is read into its type [parser]") {
    CHECK(
        change_of<cmd::set_route>("set route payments service orders priority order "
                                  "non-idempotent yes timeout 5s body 64MiB") ==
        cmd::set_route{"payments", "orders", cfg::traffic_class::order, true, 5000ms, 64U << 20U});
    CHECK(change_of<cmd::set_service>("set service status keyed yes slots 512 checks-fence no") ==
          cmd::set_service{"status", true, 512, false});
    CHECK(change_of<cmd::set_account>("set account ward-4 home bagmati,gandaki limit 12.5") ==
          cmd::set_account{"ward-4", std::vector<std::string>{"bagmati", "gandaki"}, 12.5});
    CHECK(change_of<cmd::set_account>("set account ward-4 home any").home_regions ==
          std::vector<std::string>{});
    CHECK(change_of<cmd::set_account>("set limit ward-4 none") ==
          cmd::set_account{"ward-4", std::nullopt, 0});
    CHECK(change_of<cmd::activate_account>("activate account ward-4").name == "ward-4");
    CHECK(change_of<cmd::remove_route>("remove route parts").name == "parts");
    CHECK(change_of<cmd::remove_account>("remove account ward-4").name == "ward-4");
    CHECK(change_of<cmd::drain_target>("drain target t-1").target == "t-1");
    CHECK(change_of<cmd::undrain_target>("undrain target t-1").target == "t-1");
    CHECK(change_of<cmd::remove_domain>("remove domain bagmati-a").domain == "bagmati-a");
    CHECK(change_of<cmd::return_domain>("return domain bagmati-a").domain == "bagmati-a");
    CHECK(change_of<cmd::rule_scope>("rule account/ward-4 uphold north") ==
          cmd::rule_scope{"account/ward-4", "north"});
}

TEST_CASE("options of a change are read in any order [parser]") {
    const auto change =
        std::get<cmd::change_command>(parsed("drain target t-1 --dry-run --based-on 7 --id op-1"));
    CHECK(change.id == "op-1");
    CHECK(change.based_on == 7U);
    CHECK(change.dry_run);
}

TEST_CASE("an error names the column and what was expected [parser]") {
    const auto check = [](std::string_view text, std::uint32_t column, std::string_view expected) {
        const auto error = error_of(text);
        CHECK_MESSAGE(error.column == column, text);
        CHECK_MESSAGE(error.expected.find(expected) != std::string::npos, error.expected);
    };
    check("", 1, "'show'");
    check("shwo targets", 1, "'show'");
    check("show ownr of key", 6, "'owner'");
    check("show owner of key status ward-4", 26, "ACCOUNT/ID");
    check("show owner of key status /17", 26, "ACCOUNT/ID");
    check("show owner of slot status bagmati x", 35, "a slot number");
    check("show targets now", 14, "the end");
    check("show targets --id x", 14, "the end");
    check("set route a timeout 0s", 21, "500ms");
    check("set route a timeout 5s timeout 6s", 24, "each field once");
    check("set route a", 12, "'service'");
    check("set route a body 64MB", 18, "64MiB");
    check("set account a home bagmati,,gandaki", 20, "regions");
    check("set limit a -3", 13, "requests per second");
    check("rule ward-4 uphold x", 6, "a scope");
    check("rule account/ward-4 x", 21, "'uphold'");
    check("drain target a --id x --id y", 23, "each once");
    check("drain target a --force", 16, "'--id'");
    check("drain target \"a", 16, "closes");
    check("wait 99999999999999999999", 6, "a configuration version");
    check("wait 1 within 2", 15, "500ms");
    check("show account \xc3\xa9t\xc3\xa9 x", 14, "an account");
}

TEST_CASE("the caret stands below the fault, also after characters of two bytes [parser]") {
    const std::string text = "explain request \xc3\xa9 sinc 1m";
    CHECK(cmd::to_string(error_of(text), text) ==
          "column 19: expected 'since', found 'sinc'\n"
          "  explain request \xc3\xa9 sinc 1m\n"
          "                    ^\n");
}

TEST_CASE("changes of different fields of an item have different scopes [scope]") {
    const auto scope = [](std::string_view text) {
        return cmd::scope_of(std::get<cmd::change_command>(parsed(text)).what);
    };
    CHECK(scope("set account a home b") == "account/a/home");
    CHECK(scope("set limit a 5") == "account/a/limit");
    CHECK(scope("set account a home b limit 5") == "account/a");
    CHECK(scope("activate account a") == "account/a/home");
    CHECK(scope("set route r timeout 1s") == "route/r/timeout");
    CHECK(scope("remove route r") == "route/r");
    CHECK(scope("undrain target t") == "target/t");
    CHECK(scope("return domain d") == "domain/d");
    CHECK(cmd::scopes_overlap("account/a", "account/a/home"));
    CHECK(cmd::scopes_overlap("account/a/home", "account/a"));
    CHECK(!cmd::scopes_overlap("account/a", "account/ab"));
    CHECK(!cmd::scopes_overlap("account/a/home", "account/a/limit"));
    CHECK(cmd::is_scope("account/a"));
    CHECK(!cmd::is_scope("account"));
    CHECK(!cmd::is_scope("account/"));
    CHECK(!cmd::is_scope("planet/a"));
    CHECK(!cmd::is_scope("account/a/home/x"));
}

// The recorded text of a command decides whether a repeated identity is the same command.
TEST_CASE("the text of a change reads back as the same change [parser]") {
    const auto maybe = [](auto value) {
        return *rc::gen::arbitrary<bool>() ? std::optional(std::move(value)) : std::nullopt;
    };
    const auto name = [] { return "n" + std::to_string(*rc::gen::inRange(0, 50)); };
    CHECK(rc::check([&] {
        cmd::set_route route{name(),
                             name(),
                             maybe(cfg::traffic_class::upload),
                             maybe(*rc::gen::arbitrary<bool>()),
                             maybe(std::chrono::milliseconds(*rc::gen::inRange(1, 600'000))),
                             maybe(std::uint64_t(*rc::gen::inRange(0, 1 << 30)))};
        cmd::set_account account{name(), maybe(std::vector<std::string>{name(), name()}),
                                 double(*rc::gen::inRange(0, 1'000'000)) / 7};
        for (const cmd::change& each : {cmd::change(route), cmd::change(account)}) {
            const auto back = cmd::parse(cmd::to_string(each));
            RC_ASSERT(std::holds_alternative<cmd::command>(back));
            const auto command = std::get<cmd::command>(back);
            RC_ASSERT(std::get<cmd::change_command>(command).what == each);
        }
    }));
}

// Guards against crashes and empty messages on what people type or paste.
TEST_CASE("hundreds of damaged commands give a command or a clear error [parser]") {
    const std::vector<std::string> whole{
        "show owner of key status ward-4/17",
        "explain account ward-4 since 10m",
        "set route payments service orders timeout 5s body 64MiB --id op-1",
        "set account ward-4 home bagmati,gandaki limit 500 --based-on 12 --dry-run",
        "rule account/ward-4 uphold north --id r-1",
        "drain target \"status-3\""};
    std::mt19937 random(20261204);  // NOLINT(bugprone-random-generator-seed,cert-msc51-cpp)
    int errors = 0;
    for (int round = 0; round < 2000; ++round) {
        auto text = whole[random() % whole.size()];
        for (int edit = 0; edit <= round % 4; ++edit) {
            const auto at = random() % text.size();
            switch (random() % 3) {
                case 0:
                    text[at] = static_cast<char>(random() % 256);
                    break;
                case 1:
                    text.insert(at, "\"");
                    break;
                default:
                    text.erase(at, 1 + random() % 5);
                    text += ' ';
            }
        }
        const auto out = cmd::parse(text);
        if (const auto* error = std::get_if<cmd::parse_error>(&out)) {
            ++errors;
            CHECK(!error->expected.empty());
            CHECK(!error->found.empty());
            CHECK(error->column >= 1);
            CHECK(error->column <= text.size() + 1);
            CHECK(!cmd::to_string(*error, text).empty());
        }
    }
    CHECK(errors > 500);
    CHECK(error_of(std::string(cmd::longest_command + 1, 'x')).expected.find("bytes") !=
          std::string::npos);
}
