#include "mimosavalve/command/operator_client.hpp"

#include <doctest/doctest.h>

#include <map>

namespace cmd = mimosavalve::command;
using namespace std::chrono_literals;

namespace {

cmd::exchange answered(cmd::outcome how, std::string body) {
    return {cmd::exchange_status::answered, how, std::move(body)};
}

const cmd::exchange refused_connection{cmd::exchange_status::not_sent, cmd::outcome::may_have_run,
                                       "connection refused"};
const cmd::exchange cut{cmd::exchange_status::no_answer, cmd::outcome::may_have_run, "cut"};

// Routers "1", "2", ... with one prepared answer each.
struct routers {
    std::vector<cmd::exchange> answers;
    std::vector<std::string> texts;
    std::chrono::milliseconds longest{0};

    cmd::client_result run(std::string_view text) {
        cmd::client_settings settings;
        for (std::size_t each = 0; each < answers.size(); ++each) {
            settings.routers.push_back(std::to_string(each));
        }
        return cmd::run_command(settings, text,
                                [this](const auto& router, const auto& sent, auto, auto timeout) {
                                    texts.push_back(sent);
                                    longest = std::max(longest, timeout);
                                    return answers.at(std::stoul(router));
                                });
    }
};

}  // namespace

TEST_CASE("a query goes on to the next router [operator_client]") {
    routers fleet{{refused_connection, cut, answered(cmd::outcome::unreachable, "starting"),
                   answered(cmd::outcome::done, "table")},
                  {}};
    const auto result = fleet.run("show targets");
    CHECK(result.how == cmd::outcome::done);
    CHECK(result.output == "table");
    CHECK(fleet.texts.size() == 4);
    routers none{{refused_connection, cut}, {}};
    CHECK(none.run("show targets").how == cmd::outcome::unreachable);
    CHECK(none.run("wait 3 within 20s").how == cmd::outcome::unreachable);
    CHECK(none.longest == 30s);
}

TEST_CASE("a text that is no command is not sent [operator_client]") {
    routers fleet{{answered(cmd::outcome::done, "")}, {}};
    const auto result = fleet.run("show ownr");
    CHECK(result.how == cmd::outcome::bad_command);
    CHECK(result.output.find("column 6") != std::string::npos);
    CHECK(fleet.texts.empty());
}

// Without an identity, the repeat after a lost answer could have a second effect.
TEST_CASE("a change is repeated under one identity [operator_client]") {
    routers fleet{{cut, answered(cmd::outcome::done, "recorded")}, {}};
    CHECK(fleet.run("drain target t-1").how == cmd::outcome::done);
    REQUIRE(fleet.texts.size() == 2);
    CHECK(fleet.texts[0].starts_with("drain target t-1 --id mvctl-"));
    CHECK(fleet.texts[0] == fleet.texts[1]);
    fleet.texts.clear();
    fleet.run("drain target t-1 --id op-1");
    CHECK(fleet.texts[0] == "drain target t-1 --id op-1");
}

TEST_CASE("a change that no router got has not run [operator_client]") {
    routers fleet{{refused_connection, refused_connection}, {}};
    CHECK(fleet.run("drain target t-1").how == cmd::outcome::unreachable);
    routers first{{answered(cmd::outcome::refused, "conflict"), cut}, {}};
    CHECK(first.run("drain target t-1").how == cmd::outcome::refused);
    CHECK(first.texts.size() == 1);
}

// The router whose answer is missing may still record the change after another one refused it.
TEST_CASE(
    "a refusal after a missing answer does not prove that a change has not run "
    "[operator_client]") {
    routers fleet{{cut, answered(cmd::outcome::refused, "conflict")}, {}};
    const auto result = fleet.run("drain target t-1 --id op-1");
    CHECK(result.how == cmd::outcome::may_have_run);
    CHECK(result.output.find("--id op-1") != std::string::npos);
    routers open{{answered(cmd::outcome::may_have_run, "store"), refused_connection}, {}};
    CHECK(open.run("drain target t-1").how == cmd::outcome::may_have_run);
    routers lost{{refused_connection, cut}, {}};
    CHECK(lost.run("drain target t-1").how == cmd::outcome::may_have_run);
}

TEST_CASE("identities differ [operator_client]") {
    CHECK(cmd::new_identity() != cmd::new_identity());
    CHECK(cmd::new_identity().size() == 22);
}
