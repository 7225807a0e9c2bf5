#include "mimosavalve/command/config_change.hpp"

#include <doctest/doctest.h>

#include "mimosavalve/command/parser.hpp"
#include "mimosavalve/config/fleet_config_check.hpp"

namespace cmd = mimosavalve::command;
namespace cfg = mimosavalve::config;

namespace {

cfg::fleet_config initial() {
    cfg::fleet_config config;
    config.version = 1;
    config.regions = {{"bagmati", {"bagmati-a", "bagmati-b"}}, {"gandaki", {"gandaki-a"}}};
    config.services = {{"status", true, 256, true}, {"orders", true, 64, true}};
    config.routes = {{"status", "status", cfg::traffic_class::status, false}};
    config.accounts = {{"ward-4", {"bagmati"}, 100}, {"open", {}, 0}};
    return config;
}

cmd::change change_of(std::string_view text) {
    const auto out = cmd::parse(text);
    REQUIRE_MESSAGE(std::holds_alternative<cmd::command>(out), text);
    return std::get<cmd::change_command>(std::get<cmd::command>(out)).what;
}

cmd::change_decision decide(const cfg::fleet_config& config, std::string_view text, std::string id,
                            std::optional<std::uint64_t> base = std::nullopt) {
    return cmd::decide(config, {change_of(text), std::move(id), base});
}

cfg::fleet_config accepted(const cfg::fleet_config& config, std::string_view text, std::string id,
                           std::optional<std::uint64_t> base = std::nullopt) {
    const auto decision = decide(config, text, std::move(id), base);
    const auto* refused = std::get_if<cmd::refusal>(&decision);
    REQUIRE_MESSAGE(refused == nullptr, cmd::to_string(*refused));
    auto next = std::get<cmd::accepted_change>(decision).next;
    CHECK(next.version == config.version + 1);
    CHECK(cfg::inconsistencies_of(next).empty());
    return next;
}

cmd::refusal refused(const cfg::fleet_config& config, std::string_view text, std::string id,
                     std::optional<std::uint64_t> base = std::nullopt) {
    const auto decision = decide(config, text, std::move(id), base);
    REQUIRE_MESSAGE(std::holds_alternative<cmd::refusal>(decision), text);
    return std::get<cmd::refusal>(decision);
}

}  // namespace

TEST_CASE("each change has its effect [config_change]") {
    auto config = accepted(initial(), "set route payments service orders non-idempotent yes", "1");
    CHECK(config.routes.back().non_idempotent);
    config = accepted(config, "set route payments timeout 7s", "2");
    CHECK(config.routes.back().timeout == std::chrono::milliseconds(7000));
    CHECK(config.routes.back().service == "orders");
    config = accepted(config, "remove route status", "3");
    CHECK(config.routes.size() == 1);
    config = accepted(config, "set service files keyed no", "4");
    CHECK(!config.services.back().keyed);
    config = accepted(config, "set limit open 12.5", "5");
    CHECK(config.accounts[1].requests_per_second == 12.5);
    config = accepted(config, "drain target t-1", "6");
    CHECK(config.drained_targets == std::vector<std::string>{"t-1"});
    config = accepted(config, "undrain target t-1", "7");
    CHECK(config.drained_targets.empty());
    config = accepted(config, "remove domain gandaki-a", "8");
    CHECK(config.removed_domains == std::vector<std::string>{"gandaki-a"});
    config = accepted(config, "return domain gandaki-a", "9");
    CHECK(config.removed_domains.empty());
    config = accepted(config, "remove account open", "10");
    CHECK(config.accounts.size() == 1);
    config = accepted(config, "rule account/ward-4 uphold north", "11");
    CHECK(config.rulings == std::vector<cfg::ruling>{{"account/ward-4", "north", 12}});
    CHECK(config.applied.size() == 11);
}

// One step would let two regions serve an account while the change travels.
TEST_CASE("a change of home regions waits for its activation [config_change]") {
    auto config = accepted(initial(), "set account ward-4 home gandaki", "1");
    CHECK(config.accounts[0].home_moving);
    CHECK(refused(config, "activate account ward-4", "2", 1).reason ==
          cmd::refusal_reason::conflict);
    config = accepted(config, "activate account ward-4", "2", 2);
    CHECK(!config.accounts[0].home_moving);
    CHECK(refused(config, "activate account ward-4", "3").reason ==
          cmd::refusal_reason::unknown_name);
    CHECK(!accepted(config, "set account ward-4 home gandaki", "4").accounts[0].home_moving);
    CHECK(accepted(config, "set account new home gandaki", "5").accounts[2].home_moving);
    CHECK(!accepted(config, "set account new limit 5", "6").accounts[2].home_moving);
    CHECK(refused(config, "remove account ward-4", "7").reason == cmd::refusal_reason::impossible);
}

TEST_CASE("a change that makes the configuration impossible is refused [config_change]") {
    const auto check = [](std::string_view text, cmd::refusal_reason reason) {
        CHECK_MESSAGE(refused(initial(), text, "1").reason == reason, text);
    };
    check("set route payments service nothing", cmd::refusal_reason::impossible);
    check("set route payments timeout 1s", cmd::refusal_reason::impossible);
    check("set account ward-4 home bajio", cmd::refusal_reason::impossible);
    check("set account ward-4 home gandaki,gandaki", cmd::refusal_reason::impossible);
    check("set service status slots 512", cmd::refusal_reason::impossible);
    check("set service status keyed no", cmd::refusal_reason::impossible);
    check("remove domain bajio-a", cmd::refusal_reason::impossible);
    check("return domain gandaki-a", cmd::refusal_reason::unknown_name);
    check("undrain target t-1", cmd::refusal_reason::unknown_name);
    check("remove route parts", cmd::refusal_reason::unknown_name);
    check("remove account nobody", cmd::refusal_reason::unknown_name);
    CHECK(refused(initial(), "drain target t-1", "").reason == cmd::refusal_reason::impossible);
    CHECK(accepted(initial(), "set service status slots 256 checks-fence no", "1").version == 2);
}

TEST_CASE(
    "the second of two commands on one scope is refused and names the first "
    "[config_change]") {
    const auto config = accepted(initial(), "set limit ward-4 5", "first", 1);
    const auto why = refused(config, "set limit ward-4 6", "second", 1);
    CHECK(why.reason == cmd::refusal_reason::conflict);
    CHECK(why.version == 2);
    CHECK(why.command_id == "first");
    CHECK(why.command_text == "set account ward-4 limit 5.0");
    CHECK(cmd::to_string(why) ==
          "refused: conflict: version 2 (command first: set account ward-4 limit 5.0) changed "
          "account/ward-4/limit after version 1");
    CHECK(refused(config, "remove account ward-4", "third", 1).reason ==
          cmd::refusal_reason::conflict);
    CHECK(accepted(config, "set limit ward-4 6", "second", 2).version == 3);
}

TEST_CASE("commands on different scopes with one base merge [config_change]") {
    auto config = accepted(initial(), "set limit ward-4 5", "1", 1);
    config = accepted(config, "set account ward-4 home gandaki", "2", 1);
    config = accepted(config, "set limit open 7", "3", 1);
    config = accepted(config, "drain target t-1", "4", 1);
    CHECK(config.version == 5);
    CHECK(config.accounts[0].requests_per_second == 5);
    CHECK(config.accounts[0].home_regions == std::vector<std::string>{"gandaki"});
}

// A lost answer makes operators repeat a command; a second effect could undo one accepted between.
TEST_CASE("a repeated identity answers the version of its first effect [config_change]") {
    auto config = accepted(initial(), "drain target t-1", "op-1");
    config = accepted(config, "undrain target t-1", "op-2");
    const auto again = decide(config, "drain target t-1", "op-1");
    REQUIRE(std::holds_alternative<cmd::repeated_change>(again));
    CHECK(std::get<cmd::repeated_change>(again).version == 2);
    const auto why = refused(config, "drain target t-2", "op-1");
    CHECK(why.reason == cmd::refusal_reason::identity_reused);
    CHECK(why.version == 2);
}

TEST_CASE(
    "a ruling refuses commands on and below its scope that are based on an older version "
    "[config_change]") {
    auto config = accepted(initial(), "rule account/ward-4 uphold north", "r-1", 1);
    for (const auto* text : {"set limit ward-4 5", "set account ward-4 home gandaki",
                             "set account ward-4 home gandaki limit 5"}) {
        const auto why = refused(config, text, "late", 1);
        CHECK(why.reason == cmd::refusal_reason::ruling);
        CHECK(why.version == 2);
        CHECK(why.command_id == "r-1");
    }
    CHECK(accepted(config, "set limit open 5", "other", 1).version == 3);
    CHECK(accepted(config, "set limit ward-4 5", "informed", 2).version == 3);
    config = accepted(initial(), "rule account/ward-4/home uphold north", "r-1", 1);
    CHECK(refused(config, "set account ward-4 home gandaki limit 5", "late", 1).reason ==
          cmd::refusal_reason::ruling);
    CHECK(accepted(config, "set limit ward-4 5", "other", 1).version == 3);
}

TEST_CASE(
    "a ruling wins over commands accepted before it, but not over a newer ruling "
    "[config_change]") {
    auto config = accepted(initial(), "set limit ward-4 5", "op-1", 1);
    config = accepted(config, "rule account/ward-4 uphold north", "r-1", 1);
    CHECK(refused(config, "rule account/ward-4 uphold south", "r-0", 1).reason ==
          cmd::refusal_reason::ruling);
    config = accepted(config, "rule account/ward-4 uphold south", "r-2", 3);
    CHECK(config.rulings == std::vector<cfg::ruling>{{"account/ward-4", "south", 4}});
}

TEST_CASE("a base that cannot be compared is refused [config_change]") {
    CHECK(refused(initial(), "set limit open 5", "1", 9).reason ==
          cmd::refusal_reason::unknown_base);
    CHECK(refused(initial(), "rule account/open uphold north", "1", 9).reason ==
          cmd::refusal_reason::unknown_base);
    auto config = initial();
    for (std::size_t each = 0; each <= cmd::most_applied_commands; ++each) {
        config = accepted(config, "drain target t-1", "op-" + std::to_string(each));
    }
    CHECK(config.applied.size() == cmd::most_applied_commands);
    CHECK(refused(config, "set limit open 5", "x", 1).reason == cmd::refusal_reason::expired_base);
    CHECK(accepted(config, "set limit open 5", "x", 2).version == config.version + 1);
    CHECK(accepted(config, "rule account/open uphold north", "x", 1).version == config.version + 1);
}

// Guards against a configuration that outgrows the store's values, so that nothing can be changed.
TEST_CASE("remembered commands are bounded in bytes [config_change]") {
    auto config = initial();
    std::string long_home = "region-0";
    config.regions.push_back({long_home, {"domain-0"}});
    for (int each = 1; long_home.size() < 3000; ++each) {
        const auto number = std::to_string(each);
        config.regions.push_back({"region-" + number, {"domain-" + number}});
        long_home += ",region-" + number;
    }
    for (int each = 0; each < 120; ++each) {
        config = accepted(config, "set account open home " + long_home, std::to_string(each));
    }
    CHECK(config.applied.size() < 100);
    CHECK(config.applied.size() > 50);
    CHECK(config.applied.back().id == "119");
    CHECK(refused(config, "set limit open 5", "x", 1).reason == cmd::refusal_reason::expired_base);
}
