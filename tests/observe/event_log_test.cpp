#include "mimosavalve/observe/event_log.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <thread>

namespace obs = mimosavalve::observe;
using mimosavalve::instance_id;
using mimosavalve::shard_id;
using mimosavalve::version;

namespace {

obs::event_record record(std::string subject, std::uint64_t unix_ms) {
    obs::event_record out;
    out.subject = std::move(subject);
    out.unix_ms = unix_ms;
    return out;
}

obs::event_record record_of(const std::string& host, std::uint64_t number, std::uint64_t unix_ms,
                            version at = {}) {
    auto out = record("target/t", unix_ms);
    out.process = {host, 1};
    out.number = number;
    if (at != version{}) {
        out.shard = {"bagmati", 0};
        out.at = at;
    }
    return out;
}

std::vector<std::string> names_of(const std::vector<obs::event_record>& records) {
    std::vector<std::string> out;
    out.reserve(records.size());
    for (const auto& each : records) {
        out.push_back(each.process.host + std::to_string(each.number));
    }
    return out;
}

}  // namespace

TEST_CASE("records are found by subject and time [event_log]") {
    obs::event_log log({"entry-1", 7});
    CHECK(log.append(record("target/t-1", 100)) == 1);
    log.append(record("target/t-2", 200));
    log.append(record("target/t-1", 300));
    const auto found = log.query({{"target/t-1"}, 150, 0, ""});
    REQUIRE(found.size() == 1);
    CHECK(found[0].number == 3);
    CHECK(found[0].process == instance_id{"entry-1", 7});
    CHECK(log.query({{"target/t-1", "target/t-2"}, 0, 200, ""}).size() == 2);
    CHECK(log.query({}).size() == 3);
    CHECK(log.query({}, 2).front().number == 2);
}

TEST_CASE("a subject matches those below it, and a slot the ranges that contain it [event_log]") {
    CHECK(obs::subject_matches("key/ward-4/17", "key/ward-4"));
    CHECK(!obs::subject_matches("key/ward-44/17", "key/ward-4"));
    CHECK(!obs::subject_matches("key/ward-4", "key/ward-4/17"));
    CHECK(obs::subject_matches("slots/status/bagmati/8-15", "slot/status/bagmati/8"));
    CHECK(obs::subject_matches("slots/status/bagmati/8-15", "slot/status/bagmati/15"));
    CHECK(!obs::subject_matches("slots/status/bagmati/8-15", "slot/status/bagmati/16"));
    CHECK(!obs::subject_matches("slots/status/gandaki/8-15", "slot/status/bagmati/8"));
    CHECK(!obs::subject_matches("slots/status/bagmati/x-y", "slot/status/bagmati/8"));
    CHECK(!obs::subject_matches("slots/a-b", "slot/8"));
    CHECK(!obs::subject_matches("slots/", "slot/"));
}

TEST_CASE("the newest records are kept when the log is full [event_log]") {
    obs::event_log log({"entry-1", 7}, 3);
    for (std::uint64_t each = 1; each <= 8; ++each) {
        log.append(record("target/t", each));
    }
    CHECK(names_of(log.query({})) == std::vector<std::string>{"entry-16", "entry-17", "entry-18"});
    CHECK(log.dropped() == 5);
}

// A record that matched queries of other regions would disclose requests of a bound account to
// hosts outside its home regions.
TEST_CASE(
    "records of a bound account match only queries from its home regions "
    "[event_log]") {
    obs::event_log log({"entry-1", 7});
    auto bound = record("account/ward-4", 1);
    bound.bound_regions = {"bagmati"};
    log.append(bound);
    log.append(record("account/ward-4", 2));
    CHECK(log.query({{"account/ward-4"}, 0, 0, "bagmati"}).size() == 2);
    CHECK(names_of(log.query({{"account/ward-4"}, 0, 0, "gandaki"})) ==
          std::vector<std::string>{"entry-12"});
    CHECK(log.query({{"account/ward-4"}, 0, 0, ""}).size() == 1);
}

TEST_CASE("records may be added and queried by several threads [event_log]") {
    obs::event_log log({"entry-1", 7}, 64);
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int thread = 0; thread < 4; ++thread) {
        threads.emplace_back([&] {
            for (std::uint64_t each = 0; each < 500; ++each) {
                log.append(record("target/t", each));
                const auto found = log.query({});
                const bool ordered = std::is_sorted(
                    found.begin(), found.end(),
                    [](const auto& left, const auto& right) { return left.number < right.number; });
                if (!ordered) {
                    log.append(record("out-of-order", 0));
                }
            }
        });
    }
    for (auto& each : threads) {
        each.join();
    }
    CHECK(log.append(record("target/t", 0)) == 2001);
    CHECK(log.query({{"out-of-order"}, 0, 0, ""}).empty());
}

// The clocks of hosts differ. Sorted by time alone, a grant could be shown before the move that
// caused it.
TEST_CASE("versions of a shard order records of processes whose clocks differ [event_log]") {
    const std::vector<std::vector<obs::event_record>> record_lists{
        {record_of("a", 1, 500, {1, 1}), record_of("a", 2, 510, {1, 2})},
        {record_of("b", 1, 100, {1, 2}), record_of("b", 2, 110, {1, 3})}};
    CHECK(names_of(obs::merge(record_lists)) == std::vector<std::string>{"a1", "b1", "a2", "b2"});
}

TEST_CASE("records without a common shard are ordered by time, host and number [event_log]") {
    const std::vector<std::vector<obs::event_record>> record_lists{
        {record_of("b", 1, 100), record_of("b", 2, 100)},
        {record_of("a", 1, 100), record_of("a", 2, 90)}};
    CHECK(names_of(obs::merge(record_lists)) == std::vector<std::string>{"a1", "a2", "b1", "b2"});
}

TEST_CASE("a record that is in two lists appears once [event_log]") {
    const std::vector<std::vector<obs::event_record>> record_lists{
        {record_of("a", 1, 1), record_of("a", 2, 2)}, {record_of("a", 1, 1)}};
    CHECK(names_of(obs::merge(record_lists)) == std::vector<std::string>{"a1", "a2"});
}

TEST_CASE(
    "a merge keeps the order of each process, and of versions if all processes do "
    "[event_log]") {
    CHECK(rc::check([] {
        std::vector<std::vector<obs::event_record>> record_lists;
        std::size_t total = 0;
        const auto processes = *rc::gen::inRange(1, 5);
        const bool sorted_versions = *rc::gen::arbitrary<bool>();
        for (int process = 0; process < processes; ++process) {
            auto& list = record_lists.emplace_back();
            std::uint64_t sequence = 1;
            const auto count = *rc::gen::inRange(0U, 12U);
            for (std::uint64_t number = 1; number <= count; ++number) {
                sequence = sorted_versions ? sequence + *rc::gen::inRange(0U, 3U)
                                           : *rc::gen::inRange(1U, 6U);
                const bool sharded = *rc::gen::arbitrary<bool>();
                list.push_back(record_of("h" + std::to_string(process), number,
                                         *rc::gen::inRange(0U, 50U),
                                         sharded ? version{1, sequence} : version{}));
            }
            total += count;
        }
        const auto merged = obs::merge(record_lists);
        RC_ASSERT(merged.size() == total);
        std::map<instance_id, std::uint64_t> last_number;
        version last_version;
        for (const auto& each : merged) {
            RC_ASSERT(last_number[each.process] < each.number);
            last_number[each.process] = each.number;
            if (sorted_versions && !each.shard.region.empty()) {
                RC_ASSERT(last_version <= each.at);
                last_version = each.at;
            }
        }
    }));
}

TEST_CASE("kinds of events have names [event_log]") {
    CHECK(obs::to_string(obs::event_kind::command) == "command");
    CHECK(obs::event_kind_of("move") == obs::event_kind::move);
    CHECK(!obs::event_kind_of("party"));
}
