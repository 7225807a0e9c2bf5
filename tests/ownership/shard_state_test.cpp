#include "mimosavalve/ownership/shard_state.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

namespace own = mimosavalve::ownership;
using mimosavalve::version;

namespace {

own::shard_state state_with_owners() {
    own::shard_state state;
    state.shard = {"bagmati", 0};
    own::assign(state, "status", 0, 100, "t1", {1, 1});
    return state;
}

std::string owner_of(const own::shard_state& state, own::slot_number slot) {
    const auto* range = own::find_assignment(state, "status", slot);
    return range == nullptr ? "" : range->owner;
}

}  // namespace

TEST_CASE("assigning a part of a range splits it and records the previous owner [shard_state]") {
    auto state = state_with_owners();
    own::assign(state, "status", 40, 10, "t2", {1, 2});
    REQUIRE(state.assignments.size() == 3);
    CHECK(owner_of(state, 39) == "t1");
    CHECK(owner_of(state, 40) == "t2");
    CHECK(owner_of(state, 49) == "t2");
    CHECK(owner_of(state, 50) == "t1");
    CHECK(own::find_assignment(state, "status", 45)->previous_owner == "t1");
    CHECK(own::find_assignment(state, "status", 45)->fence == version{1, 2});
    CHECK(own::find_assignment(state, "status", 100) == nullptr);
    CHECK(own::find_assignment(state, "orders", 5) == nullptr);
}

// If the second move replaced the first previous owner, the handover could be finished while that
// owner still serves.
TEST_CASE(
    "a second move during a handover keeps the previous owner that may still serve [shard_state]") {
    auto state = state_with_owners();
    own::assign(state, "status", 0, 100, "t2", {1, 2});
    own::assign(state, "status", 0, 100, "t3", {1, 3});
    CHECK(own::find_assignment(state, "status", 0)->previous_owner == "t1");
}

TEST_CASE(
    "after any sequence of assignments owners equal those of a plain map of slots [shard_state]") {
    CHECK(rc::check([] {
        own::shard_state state;
        state.shard = {"bagmati", 0};
        std::map<own::slot_number, std::string> model;
        const auto steps = *rc::gen::inRange(1, 30);
        for (int step = 1; step <= steps; ++step) {
            const auto first = *rc::gen::inRange(0U, 64U);
            const auto count = *rc::gen::inRange(1U, 65U - first);
            const auto owner = "t" + std::to_string(*rc::gen::inRange(0, 4));
            own::assign(state, "status", first, count, owner,
                        {1, static_cast<std::uint64_t>(step)});
            for (auto slot = first; slot < first + count; ++slot) {
                model[slot] = owner;
            }
        }
        for (own::slot_number slot = 0; slot < 64; ++slot) {
            const auto expected = model.find(slot);
            RC_ASSERT(owner_of(state, slot) ==
                      (expected == model.end() ? std::string{} : expected->second));
        }
        std::error_code error;
        const auto decoded = own::decode_shard_state(own::encode(state), error);
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(*decoded == state);
    }));
}

// Bytes from a faulty peer or a foreign value in the store must not be taken for a state.
TEST_CASE("bytes that are not a valid state are rejected [shard_state]") {
    std::error_code error;
    CHECK_FALSE(own::decode_shard_state("\xff\xff garbage", error).has_value());
    CHECK(error);
    CHECK_FALSE(own::decode_shard_state("", error).has_value());
    auto state = state_with_owners();
    state.assignments.push_back(state.assignments.front());
    CHECK_FALSE(own::decode_shard_state(own::encode(state), error).has_value());
}
