#include "mimosavalve/standins/target_settings.hpp"

#include <doctest/doctest.h>

#include "target_fixture.hpp"

using mimosavalve::standins::testing::scratch_file;
namespace load = mimosavalve::load;
namespace standins = mimosavalve::standins;

namespace {

std::vector<load::settings_problem> problems_of(const std::string& yaml) {
    const scratch_file file;
    std::ofstream(file.name()) << yaml;
    std::vector<load::settings_problem> problems;
    standins::read_target_settings(file.name(), {}, problems);
    return problems;
}

}  // namespace

// One problem at a time would make an operator start the program again and again.
TEST_CASE("all bad fields are reported with their lines [target_settings]") {
    const auto problems = problems_of(
        "id: t1\nservice: status\nregion: bagmati\nfailure_domain: a\n"
        "slots: 0\nprobe_ms: soon\ncolour: red\nwork: {distribution: even}\n");
    REQUIRE(problems.size() == 4);
    CHECK(problems[0].field == "slots");
    CHECK(problems[0].line == 5);
    CHECK(problems[0].allowed == "a whole number from 1 to 100000");
    CHECK(problems[1].field == "probe_ms");
    CHECK(problems[1].value == "soon");
    CHECK(problems[2].field == "work.distribution");
    CHECK(problems[2].line == 8);
    CHECK(problems[3].field == "colour");
    CHECK(problems[3].line == 7);
}

TEST_CASE("missing fields and broken YAML are reported [target_settings]") {
    CHECK(problems_of("slots: 4\n").size() == 4);
    CHECK(problems_of("id: [t1\n").front().field == "(file)");
    CHECK(problems_of("- id\n").front().allowed == "a map of fields");
    std::vector<load::settings_problem> problems;
    standins::read_target_settings("/nonexistent/target.yaml", {}, problems);
    CHECK(problems.front().field == "(file)");
}

// The settings of the examples are the first that a new user tries.
TEST_CASE("the targets of the examples have valid settings [target_settings]") {
    const std::vector<load::settings_override> instance{
        {"id", "t1"}, {"region", "bagmati"}, {"failure_domain", "bagmati-a"}};
    std::size_t files = 0;
    for (const auto* user : {"repair-service", "heating-consortium"}) {
        for (const auto& entry : std::filesystem::directory_iterator(std::string(MV_SOURCE_DIR) +
                                                                     "/examples/" + user)) {
            if (!entry.path().filename().string().starts_with("target-")) {
                continue;
            }
            std::vector<load::settings_problem> problems;
            standins::read_target_settings(entry.path().string(), instance, problems);
            CHECK_MESSAGE(problems.empty(), entry.path().string());
            ++files;
        }
    }
    CHECK(files == 6);
}
