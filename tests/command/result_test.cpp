#include "mimosavalve/command/result.hpp"

#include <doctest/doctest.h>

namespace cmd = mimosavalve::command;

namespace {

cmd::command_result example() {
    cmd::command_result result;
    result.message = "2 targets";
    result.version = 7;
    result.content.columns = {"target", "slots", "drained"};
    result.content.rows = {{std::string("status-1"), std::uint64_t{512}, true},
                           {std::string("t"), std::uint64_t{3}, false}};
    return result;
}

}  // namespace

TEST_CASE("a table has aligned columns [result]") {
    CHECK(cmd::to_table(example()) ==
          "2 targets\n"
          "target    slots  drained\n"
          "status-1  512    yes\n"
          "t         3      no\n");
}

TEST_CASE("JSON keeps the types of the cells [result]") {
    CHECK(cmd::to_json(example()) ==
          R"({"outcome":"done","message":"2 targets","version":7,"rows":[)"
          R"({"target":"status-1","slots":512,"drained":true},)"
          R"({"target":"t","slots":3,"drained":false}]})"
          "\n");
}

TEST_CASE("bytes that are no UTF-8 do not make the answer fail [result]") {
    cmd::command_result result;
    result.message = "\xff";
    CHECK(!cmd::to_json(result).empty());
}

// An unknown outcome of a newer router must not be taken for done or for not run.
TEST_CASE("outcomes have names, exit codes and HTTP statuses [result]") {
    for (const auto how : {cmd::outcome::done, cmd::outcome::refused, cmd::outcome::bad_command,
                           cmd::outcome::unreachable, cmd::outcome::may_have_run}) {
        CHECK(cmd::outcome_of(cmd::to_string(how)) == how);
        CHECK(cmd::http_status_of(how) >= 200);
    }
    CHECK(cmd::outcome_of("something") == cmd::outcome::may_have_run);
    CHECK(static_cast<int>(cmd::outcome::may_have_run) == 4);
}
