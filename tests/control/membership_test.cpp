#include "mimosavalve/control/membership.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

namespace control = mimosavalve::control;
namespace own = mimosavalve::ownership;

namespace {

const control::timing intervals;

control::candidate candidate_of(std::size_t index, std::size_t domains) {
    control::candidate result;
    result.id = {"h" + std::to_string(index), 1};
    result.address = "127.0.0.1:" + std::to_string(index);
    result.failure_domain = "d" + std::to_string(index % domains);
    return result;
}

own::shard_state led_by(const control::candidate& leader) {
    own::shard_state state;
    state.shard = {"bagmati", 0};
    state.leader = leader.id;
    state.voters = {{leader.id, leader.failure_domain, leader.address}};
    return state;
}

std::uint32_t weight_of(const own::shard_state& state) {
    return static_cast<std::uint32_t>(state.voters.size()) + state.store_weight;
}

/// Applies steps until there are no more; checks that each changes the total weight by one.
own::shard_state apply_all_steps(own::shard_state state,
                                 std::span<const control::candidate> candidates) {
    for (int step = 0; step < 100; ++step) {
        const auto next = control::next_membership_step(state, candidates, intervals);
        if (!next) {
            return state;
        }
        const auto before = weight_of(state);
        state.voters = next->voters;
        state.store_weight = next->store_weight;
        const auto after = weight_of(state);
        REQUIRE((after == before + 1 || after + 1 == before));
    }
    FAIL("the steps of the voter set do not end");
    return state;
}

}  // namespace

TEST_CASE("at most nine voters are spread evenly over failure domains [membership]") {
    std::vector<control::candidate> candidates;
    for (std::size_t index = 0; index < 12; ++index) {
        candidates.push_back(candidate_of(index, 2));
    }
    const auto state = apply_all_steps(led_by(candidates[0]), candidates);
    CHECK(state.voters.size() == 9);
    CHECK(state.store_weight == 5);
    std::map<std::string, int> domains;
    for (const auto& voter : state.voters) {
        ++domains[voter.failure_domain];
    }
    CHECK(domains["d0"] >= 4);
    CHECK(domains["d1"] >= 4);
}

TEST_CASE("unavailable and leaving voters are removed, but never the leader [membership]") {
    std::vector<control::candidate> candidates;
    for (std::size_t index = 0; index < 6; ++index) {
        candidates.push_back(candidate_of(index, 2));
    }
    auto state = apply_all_steps(led_by(candidates[0]), candidates);
    candidates[0].leaving = true;
    candidates[1].leaving = true;
    candidates[2].alive = false;
    candidates.pop_back();
    state = apply_all_steps(state, candidates);
    CHECK(state.voters.size() == 3);
    CHECK(state.voters.front().id == candidates[0].id);
    CHECK(state.store_weight == 2);
}

// When all voters of a shard are gone, a process that is not a voter leads it.
TEST_CASE("a leader that is not a voter becomes one first [membership]") {
    const std::vector<control::candidate> candidates{candidate_of(0, 2), candidate_of(1, 2)};
    auto state = led_by(candidate_of(7, 2));
    state.leader = candidates[0].id;
    const auto step = control::next_membership_step(state, candidates, intervals);
    REQUIRE(step.has_value());
    CHECK(step->voters.back().id == candidates[0].id);
    CHECK(step->voters.size() == 2);
}

// A step that changed the total weight by two would permit two disjoint quorums.
TEST_CASE(
    "the steps after any change of candidates end, each with a change of weight by one "
    "[membership]") {
    CHECK(rc::check([] {
        const auto domains = *rc::gen::inRange<std::size_t>(1, 5);
        std::vector<control::candidate> candidates;
        const auto count = *rc::gen::inRange<std::size_t>(1, 14);
        for (std::size_t index = 0; index < count; ++index) {
            candidates.push_back(candidate_of(index, domains));
        }
        auto state = apply_all_steps(led_by(candidates[0]), candidates);
        for (auto& entry : candidates) {
            entry.alive = *rc::gen::arbitrary<bool>();
        }
        state = apply_all_steps(state, candidates);
        for (const auto& voter : state.voters) {
            const bool usable =
                voter.id == state.leader ||
                std::any_of(candidates.begin(), candidates.end(),
                            [&](const auto& entry) { return entry.id == voter.id && entry.alive; });
            RC_ASSERT(usable);
        }
    }));
}

TEST_CASE("no two voters have the same rank for the leadership of a shard [membership]") {
    std::vector<own::voter> voters;
    for (std::size_t index = 0; index < 6; ++index) {
        voters.push_back({candidate_of(index, 2).id, "d", ""});
    }
    std::vector<bool> seen_ranks(voters.size(), false);
    for (const auto& voter : voters) {
        const auto rank = control::leader_rank({"bagmati", 3}, voter.id, voters);
        REQUIRE(rank < seen_ranks.size());
        CHECK_FALSE(seen_ranks[rank]);
        seen_ranks[rank] = true;
    }
}
