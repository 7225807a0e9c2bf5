#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "history/faults.hpp"

using namespace mimosavalve;
using std::chrono::milliseconds;
using test::fault;
using test::fault_kind;
using test::simulation;

namespace {

constexpr milliseconds start_up{2500};
constexpr milliseconds fault_time{6000};
constexpr milliseconds recovery{6000};
constexpr milliseconds final_check{1000};

std::vector<fault> any_faults() {
    std::vector<fault> faults(static_cast<std::size_t>(*rc::gen::inRange(1, 5)));
    // Faults that begin within one lease window of each other coincide with more steps of the
    // protocol.
    const auto common_begin = *rc::gen::inRange(0, 3000);
    for (auto& entry : faults) {
        entry.kind = static_cast<fault_kind>(*rc::gen::inRange(0, test::fault_kind_count));
        entry.begin = milliseconds(common_begin + *rc::gen::inRange(0, 800));
        entry.length = milliseconds(*rc::gen::inRange(50, 3000));
        entry.index = *rc::gen::inRange<std::size_t>(0, 42);
    }
    return faults;
}

test::sim_options any_options() {
    test::sim_options options;
    options.seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
    options.fence_checking_targets = *rc::gen::element<std::size_t>(0, 3, 6);
    if (*rc::gen::inRange(0, 3) == 0) {
        options.fast_host = *rc::gen::inRange<std::size_t>(0, 7);
    }
    return options;
}

void log(const std::vector<std::string>& lines) {
    for (const auto& line : lines) {
        RC_LOG() << line << std::endl;
    }
}

}  // namespace

// Guards against two owners of a slot, a lost assignment and a version that goes back, under random
// mixes of faults, and against slots that stay unserved after the faults have ended.
TEST_CASE("no mix of faults causes two owners, a lost assignment or an older version [history]") {
    CHECK(rc::check([] {
        const auto options = any_options();
        const auto faults = any_faults();
        for (const auto& entry : faults) {
            RC_LOG() << to_string(entry) << std::endl;
        }
        simulation fleet(options);
        fleet.run_for(start_up);
        for (const auto& entry : faults) {
            schedule(fleet, entry);
        }
        fleet.run_for(fault_time);
        end_all_faults(fleet);
        fleet.run_for(recovery);
        const auto since = fleet.now();
        fleet.run_for(final_check);
        const auto unserved = fleet.unserved_since(since);
        log(fleet.violations);
        RC_ASSERT(fleet.violations.empty());
        for (const auto& name : unserved) {
            RC_LOG() << "not served after the faults: " << name << std::endl;
        }
        RC_ASSERT(unserved.empty());
    }));
}
