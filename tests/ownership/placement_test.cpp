#include "mimosavalve/ownership/placement.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

namespace own = mimosavalve::ownership;

namespace {

own::shard_state state_with_targets(std::size_t count) {
    own::shard_state state;
    state.shard = {"bagmati", 0};
    state.at = {1, 1};
    for (std::size_t index = 0; index < count; ++index) {
        own::target target;
        target.id = "t" + std::to_string(index);
        target.service = "status";
        target.failure_domain = index < count / 2 ? "a" : "b";
        target.slots = 4;
        state.targets.push_back(std::move(target));
    }
    return state;
}

const std::vector<own::slot_range> all_slots{{"status", 0, 240}};

std::size_t apply_moves(own::shard_state& state, const std::vector<own::slot_move>& moves) {
    std::size_t moved = 0;
    state.at.sequence += 1;
    for (const auto& move : moves) {
        own::assign(state, move.slots.service, move.slots.first_slot, move.slots.count, move.owner,
                    state.at);
        moved += move.slots.count;
    }
    return moved;
}

std::map<std::string, std::size_t> slots_by_owner(const own::shard_state& state) {
    std::map<std::string, std::size_t> result;
    for (const auto& range : state.assignments) {
        result[range.owner] += range.count;
    }
    return result;
}

}  // namespace

TEST_CASE("slots are spread in proportion to capacity, domains interleaved [placement]") {
    auto state = state_with_targets(6);
    state.targets[0].slots = 8;
    const auto moves = own::place_slots(state, all_slots, {});
    CHECK(apply_moves(state, moves) == 240);
    const auto owners = slots_by_owner(state);
    CHECK(owners.at("t0") == doctest::Approx(240.0 * 2 / 7).epsilon(0.03));
    CHECK(owners.at("t5") == doctest::Approx(240.0 / 7).epsilon(0.03));
    for (std::size_t index = 0; index + 1 < state.assignments.size(); ++index) {
        const auto* left = own::find_target(state, state.assignments[index].owner);
        const auto* right = own::find_target(state, state.assignments[index + 1].owner);
        CHECK(left->failure_domain != right->failure_domain);
    }
}

// The limit on churn is that at most 1.1 times as many slots move as the lost target owned.
TEST_CASE("when a target is lost, only its slots move [placement]") {
    auto state = state_with_targets(6);
    apply_moves(state, own::place_slots(state, all_slots, {}));
    const auto before = slots_by_owner(state);
    state.targets[2].condition = own::target_condition::lost;
    const auto moves = own::place_slots(state, all_slots, {});
    for (const auto& move : moves) {
        CHECK(move.reason == "owner t2 is lost");
    }
    CHECK(apply_moves(state, moves) == before.at("t2"));
    const auto after = slots_by_owner(state);
    CHECK_FALSE(after.contains("t2"));
    for (const auto& [owner, count] : after) {
        CHECK(count == 48);
    }
}

TEST_CASE("slots go to the targets with the lowest load [placement]") {
    auto state = state_with_targets(3);
    const std::vector<own::slot_range> ranges{{"status", 0, 3}};
    apply_moves(state, own::place_slots(state, ranges, {}));
    const auto* busy = own::find_assignment(state, "status", 0);
    REQUIRE(busy != nullptr);
    const auto busy_owner = busy->owner;
    const std::vector<own::slot_load> load{{"status", 0, 1000}};
    const auto lost_owner = own::find_assignment(state, "status", 1)->owner;
    for (auto& target : state.targets) {
        if (target.id == lost_owner) {
            target.condition = own::target_condition::lost;
        }
    }
    const auto moves = own::place_slots(state, ranges, load);
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].owner != busy_owner);
}

// While there is no active target, slots must stay recorded with their last owner, not be dropped.
TEST_CASE("without an active target nothing moves [placement]") {
    auto state = state_with_targets(2);
    apply_moves(state, own::place_slots(state, all_slots, {}));
    for (auto& target : state.targets) {
        target.condition = own::target_condition::lost;
    }
    CHECK(own::place_slots(state, all_slots, {}).empty());
}

TEST_CASE("an added target gets a few slots per round until the loads are balanced [placement]") {
    auto state = state_with_targets(3);
    apply_moves(state, own::place_slots(state, all_slots, {}));
    own::target added = state.targets.front();
    added.id = "t9";
    state.targets.push_back(added);
    bool rebalancing = false;
    std::size_t moved = 0;
    for (int round = 0; round < 50; ++round) {
        auto moves = own::rebalance(state, all_slots, {}, {}, rebalancing);
        CHECK(moves.size() <= 8);
        if (moves.empty()) {
            break;
        }
        moved += apply_moves(state, moves);
        for (auto& range : state.assignments) {
            range.previous_owner.clear();
        }
    }
    CHECK_FALSE(rebalancing);
    const auto owners = slots_by_owner(state);
    std::size_t max_count = 0;
    for (const auto& [owner, count] : owners) {
        max_count = std::max(max_count, count);
    }
    CHECK(static_cast<double>(max_count) <= 1.15 * 60);
    CHECK(moved <= 60);
}

TEST_CASE("a balanced load causes no moves [placement]") {
    auto state = state_with_targets(4);
    apply_moves(state, own::place_slots(state, all_slots, {}));
    bool rebalancing = false;
    CHECK(own::rebalance(state, all_slots, {}, {}, rebalancing).empty());
    CHECK_FALSE(rebalancing);
}

TEST_CASE("slots_of_shard agrees with shard_of [placement]") {
    CHECK(rc::check([] {
        const auto slots = *rc::gen::inRange(1U, 300U);
        const auto shards = *rc::gen::inRange(1U, 20U);
        std::uint32_t next = 0;
        for (std::uint32_t shard = 0; shard < shards; ++shard) {
            const auto range = own::slots_of_shard("status", slots, shards, shard);
            RC_ASSERT(range.first_slot == next);
            next += range.count;
            for (auto slot = range.first_slot; slot < next; ++slot) {
                RC_ASSERT(own::shard_of(slot, slots, shards) == shard);
            }
        }
        RC_ASSERT(next == slots);
    }));
}

TEST_CASE("finishing a handover clears the previous owner only inside the range [shard_state]") {
    auto state = state_with_targets(2);
    own::assign(state, "status", 0, 100, "t0", {1, 1});
    own::assign(state, "status", 0, 100, "t1", {1, 2});
    own::finish_handover(state, "status", 20, 10);
    CHECK(own::find_assignment(state, "status", 19)->previous_owner == "t0");
    CHECK(own::find_assignment(state, "status", 20)->previous_owner.empty());
    CHECK(own::find_assignment(state, "status", 29)->previous_owner.empty());
    CHECK(own::find_assignment(state, "status", 30)->previous_owner == "t0");
    CHECK(own::find_assignment(state, "status", 25)->fence == mimosavalve::version{1, 2});
}
