// Random histories of leaders and their successors: routers restart, hosts are gone for good, and
// the store is lost, in series that overlap. RC_PARAMS "max_success=10000 seed=N" runs more of
// them, ten in each test of rapidcheck.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "leader_model.hpp"

using namespace mimosavalve::gateway;
using mimosavalve::gateway::testing::leader_model;
using std::chrono::seconds;

namespace {

// Time after which requests are served again once the machines are back.
constexpr seconds recovery_time{15};
constexpr int histories_per_check = 10;

std::string any_host(const leader_model& fleet) {
    return *rc::gen::elementOf(fleet.hosts());
}

milliseconds any_time(int shortest, int longest) {
    return milliseconds(*rc::gen::inRange(shortest, longest));
}

void end_several(leader_model& fleet, bool for_good) {
    for (const auto& host : fleet.hosts()) {
        if (*rc::gen::inRange(0, 10) >= 6) {
            continue;
        }
        if (for_good) {
            fleet.replace(host, any_time(500, 4000));
        } else {
            fleet.kill(host, any_time(200, 2000));
        }
    }
}

void stop_leader(leader_model& fleet) {
    if (const auto leader = fleet.leader(); !leader.empty()) {
        fleet.stop(leader, any_time(500, 6000), any_time(200, 1000));
    }
}

/// Routers are stopped and killed in an outage of the store, while the owner has no entry.
void restart_in_outage(leader_model& fleet) {
    fleet.lose_store(any_time(1500, 8000), *rc::gen::arbitrary<bool>());
    fleet.hide_owner(any_time(5000, 20000));
    fleet.advance_time(any_time(300, 1500));
    stop_leader(fleet);
    const auto series = *rc::gen::inRange(1, 4);
    for (int number = 0; number < series; ++number) {
        fleet.advance_time(any_time(100, 1500));
        end_several(fleet, *rc::gen::inRange(0, 5) == 0);
    }
}

/// The routers of one region lose contact with all others, after these were few for a while.
void isolate_region(leader_model& fleet, int region) {
    for (const auto& host : fleet.hosts()) {
        if (fleet.region_of_host(host) != region && *rc::gen::inRange(0, 4) > 0) {
            fleet.kill(host, any_time(3000, 6000));
        }
    }
    fleet.advance_time(any_time(1000, 4000));
    fleet.cut_region(region, any_time(2000, 30000));
    fleet.hide_owner(any_time(5000, 30000));
    fleet.advance_time(any_time(500, 8000));
    if (*rc::gen::arbitrary<bool>()) {
        stop_leader(fleet);
    }
}

void run_step(leader_model& fleet, int regions) {
    switch (*rc::gen::inRange(0, 18)) {
        case 0:
        case 1:
            fleet.lose_store(any_time(500, 20000), *rc::gen::arbitrary<bool>());
            break;
        case 2:
        case 3:
            stop_leader(fleet);
            break;
        case 4:
            fleet.stop(any_host(fleet), any_time(300, 3000), any_time(200, 1000));
            break;
        case 5:
            end_several(fleet, false);
            break;
        case 6:
            end_several(fleet, true);
            break;
        case 7:
            fleet.replace(any_host(fleet), any_time(500, 4000));
            break;
        case 8:
            fleet.freeze(any_host(fleet), any_time(200, 5000));
            break;
        case 9:
            fleet.cut_host(any_host(fleet), any_time(500, 20000));
            break;
        case 10:
            fleet.cut_region(*rc::gen::inRange(0, regions), any_time(500, 30000));
            break;
        case 11:
            for (const auto& host : fleet.hosts()) {
                if (*rc::gen::arbitrary<bool>()) {
                    fleet.cut_from_store(host, any_time(500, 20000));
                }
            }
            break;
        case 12:
        case 13:
            restart_in_outage(fleet);
            break;
        case 14:
            isolate_region(fleet, *rc::gen::inRange(0, regions));
            break;
        case 15:
            fleet.hide_owner(any_time(500, 15000));
            break;
        default:
            fleet.hide_target(*rc::gen::inRange(0, leader_model::target_count),
                              any_time(500, 15000));
    }
    fleet.advance_time(any_time(100, 3000));
}

void run_history(const std::function<void(leader_model&)>& check_end) {
    const auto regions = *rc::gen::inRange(1, 4);
    leader_model fleet(*rc::gen::inRange(2, 9), regions);
    fleet.random.seed(*rc::gen::inRange(1U, 1000000U));
    fleet.advance_time(seconds(4));
    const auto steps = *rc::gen::inRange(3, 16);
    for (int step = 0; step < steps; ++step) {
        run_step(fleet, regions);
        if (!fleet.violations.empty()) {
            RC_FAIL(fleet.violations.front());
        }
    }
    check_end(fleet);
}

void run_histories(const std::function<void(leader_model&)>& check_end) {
    for (int number = 0; number < histories_per_check; ++number) {
        run_history(check_end);
    }
}

}  // namespace

TEST_CASE("no leader moves keys that a target holds by another leader's grant [leader][model]") {
    CHECK(rc::check([] {
        run_histories([](leader_model& fleet) {
            fleet.advance_time(seconds(25));
            RC_ASSERT(fleet.violations.empty());
        });
    }));
}

TEST_CASE(
    "keys of a lost target are served again 15 s after the machines are back, though other hosts "
    "are gone for good [leader][model]") {
    CHECK(rc::check([] {
        run_histories([](leader_model& fleet) {
            fleet.heal();
            fleet.lose_owner();
            for (const auto& host : fleet.hosts()) {
                if (*rc::gen::arbitrary<bool>()) {
                    fleet.replace(host, milliseconds(0));
                } else {
                    fleet.kill(host, milliseconds(0));
                }
            }
            fleet.advance_time(recovery_time);
            RC_ASSERT(fleet.owner_serves());
            RC_ASSERT(fleet.violations.empty());
        });
    }));
}
