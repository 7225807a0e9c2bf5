#include "mimosavalve/check/history.hpp"

#include <doctest/doctest.h>

#include <random>
#include <stdexcept>

#include "mimosavalve/check/history_statistics.hpp"
#include "small_history.hpp"

namespace check = mimosavalve::check;
using check::testing::good_attempt;
using check::testing::opening_lines;
using check::testing::read_text;
using check::testing::run_lines;
using check::testing::to_line;

// A kill can cut the last line; every other broken line means that the history lost something.
TEST_CASE("only a cut last line is left out of a history [history]") {
    const auto whole = opening_lines() + run_lines({.at = 100, .id = "r1.1"}, 200);
    std::vector<std::string> problems;
    const auto cut = read_text(whole + R"({"t_ns":300,"tar)", problems);
    CHECK(problems.empty());
    CHECK(cut.runs.size() == 1);
    read_text(whole + "{\"t_ns\":300,\"tar\n" + to_line({.at = 400, .id = "r2.1"}), problems);
    REQUIRE(problems.size() == 1);
    CHECK(problems.front().find("small.jsonl:6") == 0);
}

TEST_CASE("a run on a target without a description is a problem [history]") {
    std::vector<std::string> problems;
    read_text(run_lines({.at = 100, .id = "r1.1"}, 200), problems);
    CHECK(problems.size() == 1);
}

// A history written by mvload must come back unchanged, or its checks would see other values.
TEST_CASE("an attempt survives its line of JSON [history]") {
    auto attempt = good_attempt("r1.1");
    attempt.expected_hash = "00ff";
    attempt.expected_size = 12;
    attempt.body_matches = false;
    attempt.error = "broken";
    CHECK(mimosavalve::load::parse_attempt(to_json(attempt)) == attempt);
}

// Broken files must end in problems, never in a crash.
TEST_CASE("changed bytes in a history never crash the reader [history]") {
    const auto whole = opening_lines() + run_lines({.at = 100, .id = "r1.1"}, 200) +
                       to_json(good_attempt("r1.1")) + "\n";
    std::mt19937 random(20261204);
    std::size_t refused = 0;
    for (int round = 0; round < 2000; ++round) {
        auto text = whole;
        for (int change = 0; change < 3; ++change) {
            text[random() % text.size()] = static_cast<char>(random() % 256);
        }
        std::vector<std::string> problems;
        read_text(text, problems);
        refused += problems.empty() ? 0 : 1;
    }
    CHECK(refused > 1000);
}

// Wrong figures would hide an owner that moves all the time or a target that does all the work.
TEST_CASE("moves, imbalance and outages are measured [history_statistics]") {
    auto refused = good_attempt("r9.1");
    refused.start_ns = 1000;
    refused.end_ns = 1100;
    refused.status = 503;
    auto later = good_attempt("r9.2");
    later.start_ns = 2000;
    later.end_ns = 2500;
    std::vector<std::string> problems;
    const auto read =
        read_text(opening_lines() + run_lines({.at = 100, .id = "r1.1"}, 200) +
                      run_lines({.at = 300, .id = "r2.1"}, 400) +
                      run_lines({.at = 500, .target = "t2", .id = "r3.1", .fence = "1.2"}, 600) +
                      to_json(refused) + "\n" + to_json(later) + "\n",
                  problems);
    REQUIRE(problems.empty());
    const auto statistics = check::measure_history(read);
    CHECK(statistics.owners_moved == 1);
    CHECK(statistics.starts == 3);
    CHECK(statistics.answered == 1);
    CHECK(statistics.refused == 1);
    CHECK(statistics.services.at("bagmati/status").imbalance() == doctest::Approx(4.0 / 3));
    CHECK(statistics.outages.per_key().nanoseconds == 1500);
}

TEST_CASE("a path is split into account and key [history]") {
    const auto key = check::path_key_of("/status/ward-4/amp/7");
    CHECK(key.account == "ward-4");
    CHECK(key.id == "amp/7");
    CHECK(check::path_key_of("/status").account.empty());
    CHECK(check::path_key_of("").account.empty());
}
