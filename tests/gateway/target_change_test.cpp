#include <doctest/doctest.h>

#include "mimosavalve/gateway/state_update.hpp"
#include "path_fixture.hpp"

using namespace mimosavalve::gateway;
using namespace mimosavalve::gateway::testing;
using std::chrono::milliseconds;

// The requests in flight were subtracted from the count of the new entry, which wrapped around:
// the target was over its limit until the router was restarted.
TEST_CASE("a target whose entry was gone during a request is used again [target_change]") {
    path_fixture path(request_kind::non_idempotent);
    path.post("r1");
    path.settle();
    REQUIRE(path.target.received.size() == 1);
    const auto entry = path.core.state.registry.targets.at("t1");
    path.core.state.registry.targets.clear();
    update_targets(path.core.state, boot_clock::now());
    path.core.state.registry.targets.emplace("t1", entry);
    update_targets(path.core.state, boot_clock::now());
    path.target.answer(0, good_answer);
    CHECK(path.receive("hello").find("200 OK") != std::string::npos);
    CHECK(path.core.state.targets.at("t1")->running == 0);
    CHECK(path.core.state.targets.at("t1")->open_connections == 0);
    path.target.script = {good_answer};
    path.post("r2");
    CHECK(path.receive("hello").find("200 OK") != std::string::npos);
    CHECK(path.core.state.targets.at("t1")->running == 0);
    CHECK(path.core.state.targets.at("t1")->open_connections == 1);
}

// Followers counted the first cold time only, and then sent the target their full share.
TEST_CASE("a target that becomes cold again is announced and held back [target_change]") {
    const auto start = boot_time(std::chrono::hours(1));
    const auto entry_at = [&](milliseconds at, std::uint32_t remaining_cold_ms) {
        registry_state state;
        auto& entry = state.targets["t1"];
        entry.id = "t1";
        entry.remaining_cold_ms = remaining_cold_ms;
        entry.sequence = static_cast<std::uint64_t>(at.count());
        set_cold_deadline(entry, start + at);
        return state;
    };
    const auto first = entry_at(milliseconds(0), 3000);
    // The same cold time in a later report, also if that took longer to arrive.
    CHECK_FALSE(differs_for_routing(first, entry_at(milliseconds(870), 2130)));
    CHECK_FALSE(differs_for_routing(first, entry_at(milliseconds(900), 2130)));
    // Cold again, for a shorter and for a longer time than was left.
    for (const std::uint32_t remaining_cold_ms : {3000U, 1500U}) {
        CAPTURE(remaining_cold_ms);
        const auto second = entry_at(milliseconds(2400), remaining_cold_ms);
        CHECK(differs_for_routing(first, second));
        CHECK(difference(first, second).entries.size() == 1);
        routing_state state;
        state.registry = first;
        update_targets(state, start);
        state.registry = second;
        update_targets(state, start + milliseconds(2400));
        const auto end = start + milliseconds(2400 + remaining_cold_ms);
        CHECK(is_cold(*state.targets.at("t1"), end - milliseconds(1)));
        CHECK_FALSE(is_cold(*state.targets.at("t1"), end));
    }
}
