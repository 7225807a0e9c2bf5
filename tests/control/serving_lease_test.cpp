#include "mimosavalve/control/serving_lease.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "mimosavalve/control/in_force.hpp"

namespace control = mimosavalve::control;
namespace own = mimosavalve::ownership;
using mimosavalve::instance_id;
using mimosavalve::steady_time;
using std::chrono::milliseconds;

namespace {

const steady_time start{std::chrono::hours(1)};

own::shard_state state_of(std::size_t voters, std::uint32_t store_weight) {
    own::shard_state state;
    state.shard = {"bagmati", 0};
    state.at = {1, 1};
    state.store_weight = store_weight;
    for (std::size_t index = 0; index < voters; ++index) {
        state.voters.push_back({{"h" + std::to_string(index), 1}, "a", "127.0.0.1:1"});
    }
    state.leader = state.voters.empty() ? instance_id{} : state.voters.front().id;
    return state;
}

control::confirmation confirmed(const own::shard_state& state, std::size_t voter, int ms) {
    return {state.voters[voter].id, start + milliseconds(ms), {}};
}

}  // namespace

TEST_CASE("the lease ends when the confirmed weight falls below a quorum [serving_lease]") {
    const auto state = state_of(6, 3);  // A quorum is 5 of 9.
    std::vector<control::confirmation> confirmations;
    for (std::size_t voter = 0; voter < 4; ++voter) {
        confirmations.push_back(confirmed(state, voter, 100 * static_cast<int>(voter + 1)));
    }
    CHECK(control::lease_end(confirmations, state) == steady_time{});
    confirmations.push_back(confirmed(state, 4, 50));
    CHECK(control::lease_end(confirmations, state) == start + milliseconds(50));
    confirmations.push_back(confirmed(state, 5, 500));
    CHECK(control::lease_end(confirmations, state) == start + milliseconds(100));
}

TEST_CASE("the vote of the store counts until its own end, and only once [serving_lease]") {
    const auto state = state_of(6, 3);
    std::vector<control::confirmation> confirmations{confirmed(state, 0, 600),
                                                     confirmed(state, 1, 600)};
    confirmations[0].store_vote_until = start + milliseconds(300);
    confirmations[1].store_vote_until = start + milliseconds(200);
    CHECK(control::lease_end(confirmations, state) == start + milliseconds(300));
    confirmations.pop_back();
    CHECK(control::lease_end(confirmations, state) == steady_time{});
}

TEST_CASE("confirmations of processes that are not voters do not count [serving_lease]") {
    const auto state = state_of(1, 1);
    std::vector<control::confirmation> confirmations{confirmed(state, 0, 600)};
    confirmations.push_back({{"h0", 2}, start + milliseconds(600), {}});
    CHECK(control::lease_end(confirmations, state) == steady_time{});
}

TEST_CASE("a late reply never shortens a confirmation [serving_lease]") {
    const auto state = state_of(2, 1);
    std::vector<control::confirmation> confirmations;
    control::add_confirmation(confirmations, confirmed(state, 0, 600));
    control::add_confirmation(confirmations, confirmed(state, 0, 500));
    REQUIRE(confirmations.size() == 1);
    CHECK(confirmations[0].until == start + milliseconds(600));
}

// With two steps of the voter set between them, two quorums may have no voter in common.
TEST_CASE("confirmations carry over only with the same voters and weight [serving_lease]") {
    const auto state = state_of(3, 1);
    auto next = state;
    next.at = {1, 2};
    CHECK(control::confirmations_carry_over(state, next));
    next.store_weight = 2;
    CHECK_FALSE(control::confirmations_carry_over(state, next));
    CHECK_FALSE(control::confirmations_carry_over(state, state_of(4, 1)));
}

TEST_CASE(
    "no lease on an older version is valid while a newer version is in force [serving_lease]") {
    CHECK(rc::check([] {
        // The total weights of the two states differ by at most one.
        const auto voters = *rc::gen::inRange<std::size_t>(1, 9);
        const auto weight = *rc::gen::inRange<std::uint32_t>(1, 5);
        const auto older = state_of(voters, weight);
        auto newer = state_of(voters + *rc::gen::inRange<std::size_t>(0, 2), weight);
        if (newer.voters.size() == voters) {
            newer.store_weight = weight + *rc::gen::inRange<std::uint32_t>(0, 2);
        }
        newer.at = {1, 2};
        // Each voter has either accepted the newer version or confirms the older one; the store
        // votes for one side only.
        std::vector<control::confirmation> confirmations;
        auto progress = control::start_progress(newer.at);
        const bool store_is_newer = *rc::gen::arbitrary<bool>();
        for (const auto& voter : newer.voters) {
            if (*rc::gen::arbitrary<bool>()) {
                control::record_accepted(progress, voter.id, {});
                continue;
            }
            control::confirmation entry{voter.id, start + milliseconds(600), {}};
            entry.store_vote_until = store_is_newer ? steady_time{} : entry.until;
            confirmations.push_back(entry);
        }
        const bool lease = control::lease_end(confirmations, older) > start;
        const bool in_force = control::is_in_force(progress, newer, store_is_newer, start);
        RC_ASSERT(!(lease && in_force));
    }));
}
