#include "mimosavalve/control/idempotency_table.hpp"

#include <doctest/doctest.h>

namespace control = mimosavalve::control;
using control::claim_status;

namespace {

constexpr std::uint64_t began = 1'000'000;
const control::timing intervals;

}  // namespace

TEST_CASE("a key is granted once [idempotency_table]") {
    auto table = control::start_idempotency_table(began);
    CHECK(control::claim(table, "k", began + 1000, began + 1000, intervals) ==
          claim_status::granted);
    CHECK(control::claim(table, "k", began + 1000, began + 5000, intervals) ==
          claim_status::duplicate);
    CHECK(control::claim(table, "other", began + 1000, began + 5000, intervals) ==
          claim_status::granted);
}

// An earlier leader may have granted such a key, so granting it again could run the request twice.
TEST_CASE("a key whose first attempt is older than the table is refused [idempotency_table]") {
    auto table = control::start_idempotency_table(began);
    CHECK(control::claim(table, "k", began - 1, began + 1000, intervals) == claim_status::too_old);
    CHECK(control::claim(table, "k", began + 500, began + 1000, intervals) ==
          claim_status::too_old);
    CHECK(control::claim(table, "k", began + 501, began + 1000, intervals) ==
          claim_status::granted);
}

// Otherwise the payment of a caller whose clock is ahead runs twice when the leader changes between
// two attempts.
TEST_CASE("no key is granted by a leader and again by its successor [idempotency_table]") {
    const auto skew = static_cast<std::uint64_t>(intervals.max_claim_clock_skew.count());
    for (std::uint64_t ahead = 0; ahead <= 1000; ahead += 50) {
        for (std::uint64_t behind = 0; behind <= skew; behind += 50) {
            const auto stamp = began + 1000 + ahead;
            auto first = control::start_idempotency_table(began);
            const auto before = control::claim(first, "k", stamp, began + 1000, intervals);
            // The successor takes over at once, with a clock that is behind by up to the skew.
            auto second = control::start_idempotency_table(began + 1000 - behind);
            const auto after = control::claim(second, "k", stamp, began + 3000, intervals);
            CHECK_FALSE((before == claim_status::granted && after == claim_status::granted));
        }
    }
}

TEST_CASE("discarded keys are refused as too old [idempotency_table]") {
    auto bounded = intervals;
    bounded.max_claims = 2;
    auto table = control::start_idempotency_table(began);
    for (std::uint64_t index = 0; index < 3; ++index) {
        const auto stamp = began + 1000 + index;
        CHECK(control::claim(table, "k" + std::to_string(index), stamp, stamp, bounded) ==
              claim_status::granted);
    }
    CHECK(table.claimed_keys.size() == 2);
    CHECK(control::claim(table, "k0", began + 1000, began + 2000, bounded) ==
          claim_status::too_old);

    const auto later = began + 2000 + 600'000;
    CHECK(control::claim(table, "k2", began + 1002, later, bounded) == claim_status::too_old);
    CHECK(table.claims_oldest_first.empty());
    CHECK(table.claimed_keys.empty());
}
