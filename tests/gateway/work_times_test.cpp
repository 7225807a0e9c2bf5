#include "gateway/work_times.hpp"

#include <doctest/doctest.h>

using namespace mimosavalve::gateway;

namespace {

routing_state make_state() {
    routing_state state;
    for (const auto* id : {"t1", "t2", "t3"}) {
        target_entry entry;
        entry.id = id;
        entry.service = "orders";
        state.registry.targets.emplace(id, entry);
    }
    update_targets(state, {});
    return state;
}

using times_by_target = std::map<std::string, double>;

}  // namespace

TEST_CASE("a router gets each changed work time once, and all of them after a loss [work_times]") {
    auto state = make_state();
    work_times times;
    announce_work(times, state);
    CHECK(work_since(times, 0).empty());
    set_work_ms(state, *state.targets.at("t1"), 100);
    set_work_ms(state, *state.targets.at("t2"), 200);
    announce_work(times, state);
    const auto received = times.last_number;
    CHECK(work_since(times, 0) == times_by_target{{"t1", 100}, {"t2", 200}});
    CHECK(work_since(times, received).empty());
    // A change of less than a twentieth is not announced.
    set_work_ms(state, *state.targets.at("t1"), 104);
    set_work_ms(state, *state.targets.at("t2"), 300);
    announce_work(times, state);
    CHECK(work_since(times, received) == times_by_target{{"t2", 300}});
    CHECK(work_since(times, 0) == times_by_target{{"t1", 100}, {"t2", 300}});
}

TEST_CASE("the work time of a target that is gone is forgotten [work_times]") {
    auto state = make_state();
    work_times times;
    set_work_ms(state, *state.targets.at("t1"), 100);
    set_work_ms(state, *state.targets.at("t2"), 200);
    announce_work(times, state);
    state.registry.targets.erase("t1");
    update_targets(state, {});
    announce_work(times, state);
    CHECK(work_since(times, 0) == times_by_target{{"t2", 200}});
    CHECK(times.by_target.size() == 1);
    CHECK(times.by_number.size() == 1);
}

TEST_CASE("a target without a work time has the mean of its service's [work_times]") {
    auto state = make_state();
    const auto& unknown = *state.targets.at("t3");
    set_work_ms(state, *state.targets.at("t1"), 100);
    set_work_ms(state, *state.targets.at("t2"), 200);
    CHECK(work_ms_of(state, unknown) == doctest::Approx(150));
    set_work_ms(state, *state.targets.at("t2"), 400);
    CHECK(work_ms_of(state, unknown) == doctest::Approx(250));
    state.registry.targets.erase("t1");
    update_targets(state, {});
    CHECK(work_ms_of(state, unknown) == doctest::Approx(400));
}
