#include "mimosavalve/standins/store_data.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <numeric>
#include <string>
#include <system_error>
#include <vector>

#include "mimosavalve/core/error.hpp"

namespace standins = mimosavalve::standins;
using mimosavalve::errc;
using mimosavalve::steady_time;
using namespace std::chrono_literals;

namespace {

const steady_time start{1000s};

std::uint64_t put(standins::store_data& data, const std::string& key, std::uint64_t expected,
                  std::error_code& error, std::uint64_t lease = 0) {
    return standins::compare_and_swap(data, key, expected, "value", lease, error);
}

}  // namespace

// A store that lets two writers replace the same revision would hide lost updates in all tests.
TEST_CASE("a write needs the present revision [store_data]") {
    standins::store_data data;
    std::error_code error;
    const auto first = put(data, "config", 0, error);
    CHECK(!error);
    CHECK(put(data, "config", 0, error) == first);
    CHECK(error == errc::store_conflict);
    error.clear();
    CHECK(put(data, "config", first, error) > first);
    CHECK(!error);
    error.clear();
    put(data, "config", first, error);
    CHECK(error == errc::store_conflict);
}

// A revision used twice would let a compare-and-swap succeed over a value it never read.
TEST_CASE("revisions grow over the whole store and are not reused after deletion [store_data]") {
    standins::store_data data;
    std::error_code error;
    const auto lease = standins::grant_lease(data, 1s, start);
    const auto first = put(data, "leaders/bagmati/0", 0, error, lease);
    const auto other = put(data, "config", 0, error);
    CHECK(other > first);
    CHECK(standins::expire_leases(data, start + 1s) ==
          std::vector<std::string>{"leaders/bagmati/0"});
    CHECK(standins::revision_of(data, "leaders/bagmati/0") == 0);
    CHECK(put(data, "leaders/bagmati/0", 0, error) > other);
    CHECK(!error);
}

// A leader whose lease outlives its time would share the shard with its successor.
TEST_CASE("a lease ends at its time unless renewed before [store_data]") {
    standins::store_data data;
    std::error_code error;
    const auto lease = standins::grant_lease(data, 1s, start);
    put(data, "leaders/bagmati/0", 0, error, lease);
    CHECK(!standins::renew_lease(data, lease, start + 900ms));
    CHECK(standins::next_lease_end(data) == start + 1900ms);
    CHECK(standins::expire_leases(data, start + 1899ms).empty());
    CHECK(standins::expire_leases(data, start + 1900ms).size() == 1);
    CHECK(standins::renew_lease(data, lease, start + 1900ms) == errc::store_lease_expired);
    put(data, "leaders/bagmati/0", 0, error, lease);
    CHECK(error == errc::store_lease_expired);
}

// A planned stop hands leadership on by ending its lease.
TEST_CASE("revoking a lease deletes exactly its keys [store_data]") {
    standins::store_data data;
    std::error_code error;
    const auto lease = standins::grant_lease(data, 1s, start);
    const auto other = standins::grant_lease(data, 1s, start);
    put(data, "leaders/bagmati/0", 0, error, lease);
    const auto moved = put(data, "leaders/bagmati/1", 0, error, lease);
    put(data, "leaders/bagmati/1", moved, error, other);
    const auto detached = put(data, "leaders/bagmati/2", 0, error, lease);
    put(data, "leaders/bagmati/2", detached, error);
    CHECK(standins::revoke_lease(data, lease, error) ==
          std::vector<std::string>{"leaders/bagmati/0"});
    CHECK(!error);
    CHECK(data.values.size() == 2);
    standins::revoke_lease(data, lease, error);
    CHECK(error == errc::store_lease_expired);
}

// Wrong counts would make the bound on store calls per second untestable.
TEST_CASE("calls are counted in total and in each of the last 60 seconds [store_data]") {
    standins::call_counts counts;
    for (int second = 0; second < 100; ++second) {
        standins::count_call(counts, standins::call_kind::read, start + second * 1s);
    }
    standins::count_call(counts, standins::call_kind::watch, start + 99s);
    CHECK(standins::calls_this_second(counts, start + 99s) == 2);
    CHECK(standins::total_calls(counts, standins::call_kind::read) == 100);
    CHECK(standins::recent_calls(counts, standins::call_kind::read, start + 99s) ==
          std::vector<std::uint64_t>(60, 1));
    const auto later = standins::recent_calls(counts, standins::call_kind::read, start + 129s);
    CHECK(std::accumulate(later.begin(), later.end(), std::uint64_t{0}) == 30);
    CHECK(later.back() == 0);
    CHECK(standins::calls_this_second(counts, start + 500s) == 0);
}
