#include <doctest/doctest.h>

#include "mimosavalve/command/execute.hpp"
#include "mimosavalve/config/fleet_config_codec.hpp"
#include "operators/simulated_store.hpp"

namespace cmd = mimosavalve::command;
namespace cfg = mimosavalve::config;
using namespace std::chrono_literals;

namespace {

// Commands of a router over a simulated store. The test decides which version is in force.
struct router {
    mimosavalve::testing::virtual_clock clock;
    mimosavalve::testing::simulated_store store{clock, 20261204};
    cmd::writer_environment environment{
        store.port(), [this] { return clock.now(); },
        [this](auto delay, auto action) { clock.after(delay, std::move(action)); }};
    cmd::command_context context;
    std::uint64_t in_force = 1;

    router() {
        cfg::fleet_config config;
        config.version = 1;
        config.regions = {{"bagmati", {"bagmati-a"}}, {"gandaki", {"gandaki-a"}}};
        config.accounts = {{"ward-4", {"bagmati"}, 0}};
        store.put(cfg::encode(config));
        context.submit_change = [this](auto request, auto deadline, auto handler) {
            cmd::submit_change(environment, std::move(request), deadline, std::move(handler));
        };
        context.config_in_force = [this] { return in_force; };
        context.make_identity = [this] { return "id-" + std::to_string(++identities); };
        context.now = [this] { return clock.now(); };
    }

    cmd::command_result run(std::string_view text) {
        cmd::command_result out;
        cmd::execute(text, context, [&](auto result) { out = std::move(result); });
        clock.run();
        return out;
    }

    [[nodiscard]] cfg::account_config account() const {
        std::error_code error;
        return cfg::decode_fleet_config(store.writes().back().value, error)->accounts[0];
    }

    int identities = 0;
};

}  // namespace

// Guards against two regions that serve one account while routers hold different versions.
TEST_CASE("new home regions are activated only after the change is in force [operators]") {
    router test;
    CHECK(test.run("set account ward-4 home gandaki").version == 2);
    CHECK(test.account().home_moving);
    const auto early = test.run("activate account ward-4");
    CHECK(early.how == cmd::outcome::refused);
    CHECK(early.message.find("version 2") != std::string::npos);
    CHECK(test.account().home_moving);
    test.in_force = 2;
    CHECK(test.run("activate account ward-4").version == 3);
    CHECK(!test.account().home_moving);
    CHECK(test.account().home_regions == std::vector<std::string>{"gandaki"});
}
