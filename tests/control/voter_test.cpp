#include "mimosavalve/control/voter.hpp"

#include <doctest/doctest.h>

namespace control = mimosavalve::control;
using control::milliseconds;
using control::renewal_status;
using mimosavalve::instance_id;
using mimosavalve::steady_time;

namespace {

const steady_time start{std::chrono::hours(1)};
const control::timing intervals;
const instance_id router_1{"r1", 1};
const instance_id router_2{"r2", 1};

renewal_status ask(control::voter_record& record, const instance_id& router,
                   mimosavalve::version held, steady_time now = start) {
    return control::renew(record, {router, "127.0.0.1:1", held}, now, intervals);
}

}  // namespace

TEST_CASE("a voter confirms only the version that it has accepted [voter]") {
    control::voter_record record;
    REQUIRE(control::accept_version(record, {2, 5}, true));
    CHECK(ask(record, router_1, {2, 5}) == renewal_status::confirmed);
    CHECK(ask(record, router_1, {2, 4}) == renewal_status::router_behind);
    CHECK(ask(record, router_1, {3, 1}) == renewal_status::voter_behind);
    CHECK(record.granted.size() == 1);
}

// A confirmation from a process that the state does not list counts for no quorum and would
// not be reported to any leader.
TEST_CASE("a process that is not listed as a voter does not confirm [voter]") {
    control::voter_record record;
    REQUIRE(control::accept_version(record, {2, 5}, false));
    CHECK(ask(record, router_1, {2, 5}) == renewal_status::not_voter);
    CHECK(record.granted.empty());
}

TEST_CASE("a voter never goes back to an older version [voter]") {
    control::voter_record record;
    REQUIRE(control::accept_version(record, {2, 5}, true));
    CHECK_FALSE(control::accept_version(record, {2, 5}, false));
    CHECK_FALSE(control::accept_version(record, {1, 9}, true));
    CHECK(record.accepted == mimosavalve::version{2, 5});
    CHECK(record.listed);
}

// A leader that does not receive such a confirmation would act while the router may still send
// requests.
TEST_CASE("unexpired confirmations for older versions are reported with their latest end [voter]") {
    control::voter_record record;
    control::accept_version(record, {1, 1}, true);
    ask(record, router_1, {1, 1}, start);
    ask(record, router_2, {1, 1}, start);
    control::accept_version(record, {1, 2}, true);
    ask(record, router_1, {1, 2}, start + milliseconds(100));
    control::accept_version(record, {1, 3}, true);

    const auto outstanding =
        control::outstanding_confirmations(record, {1, 3}, start + milliseconds(200));
    REQUIRE(outstanding.size() == 2);
    const auto& first = outstanding[0].router == router_1 ? outstanding[0] : outstanding[1];
    CHECK(first.held == mimosavalve::version{1, 2});
    CHECK(first.until == start + milliseconds(100) + milliseconds(612));
    CHECK(control::outstanding_confirmations(record, {1, 2}, start + milliseconds(200)).size() ==
          2);
    CHECK(control::outstanding_confirmations(record, {1, 3}, start + milliseconds(650)).size() ==
          1);
    CHECK(control::outstanding_confirmations(record, {1, 3}, start + milliseconds(712)).empty());
}

// The confirmation must outlast the lease of a router whose clock runs slower than the voter's.
TEST_CASE("the voter counts a confirmation for longer than the router counts its lease [voter]") {
    control::voter_record record;
    control::accept_version(record, {1, 1}, true);
    ask(record, router_1, {1, 1});
    CHECK(record.granted.front().until - start > intervals.lease_window * 101 / 100);
}

TEST_CASE("ended confirmations are discarded [voter]") {
    control::voter_record record;
    control::accept_version(record, {1, 1}, true);
    ask(record, router_1, {1, 1});
    control::discard_expired(record, start + milliseconds(611));
    CHECK(record.granted.size() == 1);
    control::discard_expired(record, start + milliseconds(612));
    CHECK(record.granted.empty());
}
