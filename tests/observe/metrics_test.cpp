#include "mimosavalve/observe/metrics.hpp"

#include <doctest/doctest.h>

#include <random>

using namespace mimosavalve;
using namespace mimosavalve::observe;

// A value in a wrong bucket would falsify the tail latency, on which operators and the silent probe
// rely.
TEST_CASE(
    "a value lies within its bucket, which is at most an eighth of its lower bound wide "
    "[histogram]") {
    std::mt19937_64 random(20261204);
    for (int round = 0; round < 20000; ++round) {
        const auto value = (random() >> (random() % 60)) % (std::uint64_t{1} << 33U);
        const auto bucket = histogram::bucket_of(value);
        const auto lower_bound = bucket == 0 ? 0 : histogram::upper_bound(bucket - 1);
        CHECK(value >= lower_bound);
        CHECK(value < histogram::upper_bound(bucket));
        CHECK((histogram::upper_bound(bucket) - lower_bound) * 8 <=
              std::max<std::uint64_t>(8, lower_bound));
    }
    CHECK(histogram::bucket_of(UINT64_MAX) == histogram::bucket_count - 1);
}

TEST_CASE("quantiles are within an eighth of the true value [histogram]") {
    histogram latency;
    CHECK(latency.quantile(0.5) == 0);
    for (std::uint64_t value = 1; value <= 10000; ++value) {
        latency.record(value);
    }
    CHECK(latency.total() == 10000);
    CHECK(latency.sum_microseconds() == 50005000);
    CHECK(latency.quantile(0.99) >= 9900);
    CHECK(latency.quantile(0.99) <= 9900 * 9 / 8);
}

// Callers choose account names, so a label for each of them would exhaust the memory.
TEST_CASE("accounts beyond the first 200 share one label [metrics]") {
    account_labels labels;
    request_metrics metrics(labels);
    for (int number = 0; number < 300; ++number) {
        metrics.record(config::traffic_class::status, "account-" + std::to_string(number),
                       traffic_verdict::ran, 100);
    }
    CHECK(labels.size() == 200);
    const auto text = format_metrics({&metrics, &metrics}, labels);
    CHECK(text.find("{account=\"other\",verdict=\"ran\"} 200\n") != std::string::npos);
    CHECK(text.find("{account=\"account-0\",verdict=\"ran\"} 2\n") != std::string::npos);
    CHECK(text.find("{class=\"status\",verdict=\"ran\"} 600\n") != std::string::npos);
    CHECK(text.find("account-200") == std::string::npos);
}
