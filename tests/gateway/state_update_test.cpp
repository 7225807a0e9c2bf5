#include "mimosavalve/gateway/state_update.hpp"

#include <doctest/doctest.h>

#include <rapidcheck.h>
#include <nlohmann/json.hpp>

#include "mimosavalve/gateway/peer_messages.hpp"

using namespace mimosavalve::gateway;
using std::chrono::milliseconds;

namespace {

key_map random_map() {
    key_map map;
    const auto changes = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 65536), rc::gen::inRange(0, 65536)));
    std::uint64_t fence = 1;
    for (const auto& [one, other] : changes) {
        const auto first = static_cast<std::uint32_t>(std::min(one, other));
        const auto last = static_cast<std::uint32_t>(std::max(one, other));
        assign(map, {first, last, "o" + std::to_string(fence % 3), fence, fence % 5 == 0, 1, 0});
        ++fence;
    }
    return map;
}

target_entry entry_of(const std::string& id, std::uint64_t instance) {
    target_entry entry;
    entry.id = id;
    entry.service = "status";
    entry.address = "10.0.0.1:80";
    entry.started_unix_ms = instance;
    return entry;
}

}  // namespace

TEST_CASE("applying the difference to another map gives that map [state_update]") {
    CHECK(rc::check([] {
        const auto before = random_map();
        const auto after = random_map();
        auto map = before;
        apply(map, difference(before, after), milliseconds(0));
        RC_ASSERT(problem_of(map).empty());
        for (std::uint32_t key = 0; key < key_count; key += 97) {
            const auto& expected = segment_of(after, key);
            const auto& actual = segment_of(map, key);
            RC_ASSERT(actual.owner == expected.owner);
            RC_ASSERT(actual.fence == expected.fence);
            RC_ASSERT(actual.moving == expected.moving);
        }
    }));
}

TEST_CASE("the difference of two maps has only the changed ranges [state_update]") {
    key_map before;
    for (std::uint32_t part = 0; part < 8; ++part) {
        assign(before,
               {part * 8192, part * 8192 + 8191, "o" + std::to_string(part), 1, false, 1, 0});
    }
    auto after = before;
    assign(after, {100, 199, "o5", 9, false, 1, 0});
    CHECK(difference(before, after).segments.size() == 3);
    CHECK(difference(before, before).segments.empty());
}

TEST_CASE("an update shortens the expected waits of ranges that are still moving [state_update]") {
    key_map map;
    assign(map, {0, 99, "a", 1, true, 1, 500});
    apply(map, {false, {{200, 299, "b", 2, false, 1, 0}}}, milliseconds(200));
    CHECK(segment_of(map, 0).wait_ms == 300);
}

TEST_CASE("applying the difference to another registry gives that registry [state_update]") {
    registry_state before;
    before.revision = 5;
    before.evacuated_domains = {"north-a"};
    before.targets["a"] = entry_of("a", 1);
    before.targets["b"] = entry_of("b", 1);
    auto after = before;
    after.revision = 9;
    after.targets["a"] = entry_of("a", 2);
    after.targets["c"] = entry_of("c", 1);
    after.targets.erase("b");
    const auto update = difference(before, after);
    CHECK(update.entries.size() == 2);
    CHECK(update.removed.size() == 1);
    const auto next = applied(before, update);
    CHECK(next.targets == after.targets);
    CHECK(next.revision == 9);
    CHECK(next.evacuated_domains.contains("north-a"));
    CHECK(applied(before, whole_update(after)).targets == after.targets);
}

TEST_CASE("a history keeps recent states, and none after a restart [state_update]") {
    state_history<int> history;
    history.add(10);
    const auto first = history.number();
    history.add(11);
    REQUIRE(history.find(first) != nullptr);
    CHECK(*history.find(first) == 10);
    CHECK(*history.last() == 11);
    history.restart();
    CHECK(history.find(first) == nullptr);
    CHECK(history.number() > first + 1);
}

TEST_CASE("a decoded reply has the same values and the same omissions [peer_messages]") {
    sync_reply reply;
    reply.epoch = 7;
    reply.number = 3;
    reply.rate_quotas = std::map<std::string, double>{};
    reply.maps["status"] = {false, {{5, 9, "a", 4, true, 2, 30}}};
    reply.registry = registry_update{false, 8, {entry_of("a", 1)}, {"b"}, {{"b", {5, 9, {}}}}};
    const auto decoded = decode_sync_reply(encode(reply));
    REQUIRE(decoded);
    CHECK(decoded->number == 3);
    CHECK_FALSE(decoded->concurrency_quotas);
    REQUIRE(decoded->rate_quotas);
    CHECK(decoded->rate_quotas->empty());
    CHECK(decoded->maps.at("status").segments == reply.maps.at("status").segments);
    REQUIRE(decoded->registry);
    CHECK(decoded->registry->entries == reply.registry->entries);
    CHECK(decoded->registry->removed == reply.registry->removed);
    REQUIRE(decoded->registry->gone.size() == 1);
    CHECK(decoded->registry->gone.at("b").started_unix_ms == 5);
    CHECK(decoded->registry->gone.at("b").sequence == 9);
}

// Routers are replaced one after the other, so that two versions run in one fleet.
TEST_CASE(
    "a registry of an earlier version, without targets that have gone, is decoded "
    "[peer_messages]") {
    sync_reply reply;
    reply.registry = registry_update{false, 8, {entry_of("a", 1)}, {"b"}, {}};
    const auto bytes = encode(reply);
    auto body = nlohmann::json::from_cbor(bytes.begin(), bytes.end());
    body.at("registry").erase("gone");
    std::string earlier;
    nlohmann::json::to_cbor(body, nlohmann::detail::output_adapter<char>(earlier));
    const auto decoded = decode_sync_reply(earlier);
    REQUIRE(decoded);
    CHECK(decoded->registry->entries == reply.registry->entries);
    CHECK(decoded->registry->gone.empty());
}

TEST_CASE("a router that gets a reply every few seconds still gets differences [state_update]") {
    state_history<int> history;
    constexpr int states_of_five_seconds = 25;
    for (int state = 0; state <= states_of_five_seconds; ++state) {
        history.add(state);
    }
    REQUIRE(history.find(1) != nullptr);
    CHECK(*history.find(1) == 0);
}

TEST_CASE("a router learns from the leader which targets have gone [state_update]") {
    registry_state before;
    before.targets["a"] = entry_of("a", 1);
    before.targets["a"].sequence = 4;
    before.targets["b"] = entry_of("b", 1);
    auto after = before;
    after.targets.erase("a");
    after = without_older_entries(before, after, boot_clock::now());
    CHECK(difference(before, after).gone.at("a").sequence == 4);
    CHECK(difference(after, after).gone.empty());
    CHECK(whole_update(after).gone.at("a").sequence == 4);
    CHECK(applied(before, difference(before, after)).gone.contains("a"));
}

TEST_CASE("a target that has gone is forgotten after a minute, and many at once [state_update]") {
    const auto start = boot_clock::now();
    registry_state state;
    for (std::size_t number = 0; number < 2 * max_gone_targets; ++number) {
        const auto id = "t" + std::to_string(number);
        state.targets[id] = entry_of(id, 1);
    }
    const auto gone = without_older_entries(state, {}, start);
    CHECK(gone.gone.size() == max_gone_targets);
    CHECK(without_older_entries(gone, {}, start + gone_target_time - milliseconds(1)).gone.size() ==
          max_gone_targets);
    CHECK(without_older_entries(gone, {}, start + gone_target_time).gone.empty());
}

TEST_CASE("a later instance is used although its reports are counted anew [state_update]") {
    const auto now = boot_clock::now();
    registry_state state;
    state.targets["a"] = entry_of("a", 7);
    state.targets["a"].sequence = 100;
    registry_state next;
    next.targets["a"] = entry_of("a", 8);
    CHECK(without_older_entries(state, next, now).targets.at("a").started_unix_ms == 8);
    CHECK(without_older_entries(next, state, now).targets.at("a").started_unix_ms == 8);
    const auto gone = without_older_entries(state, {}, now);
    CHECK(without_older_entries(gone, next, now).targets.contains("a"));
    CHECK_FALSE(without_older_entries(gone, state, now).targets.contains("a"));
}
