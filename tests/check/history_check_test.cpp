#include "mimosavalve/check/history_check.hpp"

#include <doctest/doctest.h>

#include <stdexcept>

#include "small_history.hpp"

namespace check = mimosavalve::check;
using check::violation_kind;
using check::testing::event_line;
using check::testing::good_attempt;
using check::testing::kinds_of;
using check::testing::opening_lines;
using check::testing::run_lines;
using check::testing::to_line;

namespace {

using kind_list = std::vector<violation_kind>;

std::string good_history() {
    // A slot moves from t1 to t2 with a newer fence, and one attempt was refused without a run.
    auto refused = good_attempt("r3.1");
    refused.status = 503;
    refused.verdict = "not-run";
    return opening_lines() + run_lines({.at = 100, .id = "r1.1"}, 200) +
           run_lines({.at = 200, .target = "t2", .id = "r2.1", .fence = "1.2"}, 300) +
           to_json(good_attempt("r1.1")) + "\n" + to_json(good_attempt("r2.1")) + "\n" +
           to_json(refused) + "\n";
}

}  // namespace

// A checker that reports violations where there are none would hide the real ones.
TEST_CASE("a good history has no violation [history_check]") {
    CHECK(kinds_of(good_history(), {{"ward-1", {"bagmati"}}}).empty());
}

// Guarantee 1: one owner at any moment.
TEST_CASE("two targets that run one key at the same time are found [history_check]") {
    const auto text = opening_lines() + run_lines({.at = 100, .id = "r1.1"}, 200) +
                      run_lines({.at = 199, .target = "t2", .id = "r2.1"}, 300);
    CHECK(kinds_of(text) == kind_list{violation_kind::overlapping_owners});
}

// Two routes of one service share their keys, so an overlap over routes counts as well.
TEST_CASE("an overlap over two routes of one service is found [history_check]") {
    const auto text =
        opening_lines() + run_lines({.at = 100, .id = "r1.1"}, 200) +
        run_lines({.at = 150, .target = "t2", .id = "r2.1", .key = "/parts/ward-1/k1"}, 300);
    CHECK(kinds_of(text) == kind_list{violation_kind::overlapping_owners});
}

// A long run must not be forgotten when a shorter one on the same target ends after it began.
TEST_CASE("an overlap with an earlier and longer run is found [history_check]") {
    const auto text = opening_lines() + run_lines({.at = 100, .id = "r1.1"}, 900) +
                      run_lines({.at = 150, .id = "r2.1"}, 160) +
                      run_lines({.at = 500, .target = "t2", .id = "r3.1"}, 600);
    CHECK(kinds_of(text) == kind_list{violation_kind::overlapping_owners});
}

TEST_CASE("runs of one key on one target may overlap [history_check]") {
    const auto text = opening_lines() + run_lines({.at = 100, .id = "r1.1"}, 200) +
                      run_lines({.at = 150, .id = "r2.1"}, 300);
    CHECK(kinds_of(text).empty());
}

TEST_CASE("requests of a service without keys may overlap on targets [history_check]") {
    const auto text = opening_lines() + run_lines({.at = 100, .id = "r1.1", .slot = "null"}, 200) +
                      run_lines({.at = 150, .target = "t2", .id = "r2.1", .slot = "null"}, 300);
    CHECK(kinds_of(text).empty());
}

// A killed target writes no end; what it ran must still count until its last line.
TEST_CASE("a run without an end lasts until the target's last line [history_check]") {
    const auto lost = opening_lines() + to_line({.at = 100, .id = "r1.1"}) +
                      run_lines({.at = 110, .id = "r2.1", .key = "/status/ward-1/k9"}, 300);
    CHECK(kinds_of(lost + run_lines({.at = 250, .target = "t2", .id = "r3.1"}, 260)) ==
          kind_list{violation_kind::overlapping_owners});
    CHECK(kinds_of(lost + run_lines({.at = 301, .target = "t2", .id = "r3.1"}, 360)).empty());
}

// A run that a freeze stretched is a known limit of the design and has to be told apart.
TEST_CASE("an overlap with a paused run has its own kind [history_check]") {
    const std::string pause =
        R"({"t_ns":800,"target":"t1","instance":11,"event":"pause","from_ns":120})"
        "\n";
    const auto paused = opening_lines() + to_line({.at = 100, .id = "r1.1"}) + pause +
                        to_line({.at = 810, .event = "end", .id = "r1.1"});
    CHECK(kinds_of(paused + run_lines({.at = 500, .target = "t2", .id = "r2.1"}, 600)) ==
          kind_list{violation_kind::overlap_across_pause});
    // After the pause the target was alive again, so this overlap is a plain violation.
    CHECK(kinds_of(paused + run_lines({.at = 805, .target = "t2", .id = "r2.1"}, 900)) ==
          kind_list{violation_kind::overlapping_owners});
}

// Guarantee 1: the old owner must not start anything after the new one did.
TEST_CASE("a start under an older fence after a newer one is found [history_check]") {
    const auto newer =
        opening_lines() + run_lines({.at = 100, .target = "t2", .id = "r1.1", .fence = "2.1"}, 110);
    const auto older = run_lines({.at = 200, .id = "r2.1", .fence = "1.9"}, 210);
    CHECK(kinds_of(newer + older) == kind_list{violation_kind::older_fence});
    // Slots of two regions have nothing to do with each other.
    const auto elsewhere =
        run_lines({.at = 200, .target = "t3", .id = "r2.1", .fence = "1.9"}, 210);
    CHECK(kinds_of(newer + elsewhere).empty());
}

// Guarantee 7: a refusal that says "not run" is true.
TEST_CASE("a refused request that started is found [history_check]") {
    auto refused = good_attempt("r1.1");
    refused.status = 503;
    refused.verdict = "not-run";
    const auto text =
        opening_lines() + run_lines({.at = 100, .id = "r1.1"}, 200) + to_json(refused) + "\n";
    CHECK(kinds_of(text) == kind_list{violation_kind::refused_but_started});
}

// Guarantee 8: a payment runs at most once, also when its repeat has another request id.
TEST_CASE("an idempotency key that started twice is found [history_check]") {
    const auto text =
        opening_lines() + run_lines({.at = 100, .id = "r1.1", .idempotency_key = "pay-1"}, 200) +
        run_lines(
            {.at = 300, .target = "t2", .id = "r1.2", .fence = "1.2", .idempotency_key = "pay-1"},
            400);
    CHECK(kinds_of(text) == kind_list{violation_kind::repeated_effect});
}

// Guarantee 6: a caller receives the answer to its own request.
TEST_CASE("an answer with another id or body is found [history_check]") {
    const auto run = opening_lines() + run_lines({.at = 100, .id = "r1.1"}, 200);
    auto crossed = good_attempt("r1.1");
    crossed.answered_id = "r7.1";
    CHECK(kinds_of(run + to_json(crossed) + "\n") == kind_list{violation_kind::foreign_answer});
    auto other_body = good_attempt("r1.1");
    other_body.body_matches = false;
    CHECK(kinds_of(run + to_json(other_body) + "\n") == kind_list{violation_kind::foreign_answer});
    auto without_id = good_attempt("r1.1");
    without_id.answered_id = "";
    CHECK(kinds_of(run + to_json(without_id) + "\n") == kind_list{violation_kind::foreign_answer});
}

// A 2xx answer that no target gave would be made up.
TEST_CASE("a good answer without a start is found [history_check]") {
    const auto text = opening_lines() + to_json(good_attempt("r1.1")) + "\n";
    CHECK(kinds_of(text) == kind_list{violation_kind::answer_without_start});
}

// Guarantee 5: both the caller's and the key's account bind a request.
TEST_CASE("a start outside the home regions is found [history_check]") {
    const auto text = opening_lines() + run_lines({.at = 100, .target = "t3", .id = "r1.1"}, 200);
    CHECK(kinds_of(text, {{"ward-1", {"bagmati"}}}) ==
          kind_list{violation_kind::outside_home_regions});
    CHECK(kinds_of(text, {{"ward-1", {"bagmati", "gandaki"}}}).empty());
    const auto other =
        opening_lines() +
        run_lines({.at = 100, .target = "t3", .id = "r1.1", .key = "/status/ward-8/k1"}, 200);
    CHECK(kinds_of(other, {{"ward-8", {"bagmati"}}}) ==
          kind_list{violation_kind::outside_home_regions});
    CHECK(kinds_of(other, {{"ward-1", {"bagmati"}}}) ==
          kind_list{violation_kind::outside_home_regions});
}
