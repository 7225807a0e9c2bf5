// A target's answer to a release has one wrong byte in its handover.
#include <sys/wait.h>

#include <algorithm>
#include <exception>
#include <set>

#include "case_run.hpp"

namespace {

using namespace mimosavalve;
using gateway::milliseconds;

constexpr int clients_per_router = 8;
constexpr auto warm_up = milliseconds(4000);
constexpr auto observed = milliseconds(8000);

review::outcome play(review::case_run& run) {
    auto& fleet = run.fleet;
    run.add_target("k1", "status", true);
    run.add_target("k2", "status", true);
    run.add_target("o1", "orders", false);
    run.add_target("o2", "orders", false);
    run.add_target("o3", "orders", false);
    run.add_target("o4", "orders", false);
    run.add_target("o5", "orders", false);
    run.add_target("o6", "orders", false);
    for (auto& [id, target] : fleet.targets) {
        target->slow_path = "/orders/slow";
        target->slow_work_time = milliseconds(300);
    }
    fleet.put_config(3);
    const std::vector<std::string> hosts{"h1", "h2", "h3"};
    run.start_routers(hosts);
    if (!fleet.run_until_serving()) {
        return run.give_up("the routers do not serve");
    }
    for (const auto& host : hosts) {
        for (int number = 0; number < clients_per_router; ++number) {
            review::kept_client::options orders;
            orders.path = "/orders/slow";
            run.add_client(host, orders);
        }
    }
    fleet.run_for(warm_up);
    const auto leader = fleet.leader();
    run.note("leader: " + leader);
    if (leader.empty()) {
        return run.give_up("there is no leader");
    }
    platform::testing::faults().spoils_handover = run.has_trouble();
    run.note("k1 reports that it leaves");
    auto& leaving = *fleet.targets.at("k1");
    leaving.leaving = true;
    fleet.write_store_entry(leaving);

    std::vector<std::string> violations;
    std::set<std::string> ended;
    fleet.run_until(
        [&] {
            for (const auto& host : hosts) {
                if (!ended.contains(host) && fleet.has_ended(host)) {
                    ended.insert(host);
                    run.note("the process of " + host + " has ended by itself");
                    run.note("its log ends with: " +
                             fleet.log_of(host).substr(
                                 fleet.log_of(host).size() -
                                 std::min<std::size_t>(fleet.log_of(host).size(), 600)));
                }
            }
            return false;
        },
        observed);
    run.stop_clients();
    run.note("wrong bytes in answers to releases: " +
             std::to_string(platform::testing::faults().spoiled_handovers));
    int lost = 0;
    for (const auto& request : run.requests) {
        const bool was_passed_on = fleet.history.runs_by_request.contains(request.id);
        lost += request.closed && request.on_kept_connection && was_passed_on ? 1 : 0;
    }
    run.note("requests from kept connections, run by sound targets and closed without an answer: " +
             std::to_string(lost));
    violations.reserve(ended.size() + 1);
    for (const auto& host : ended) {
        violations.push_back("the process of " + host + " ended by itself");
    }
    if (lost > 3) {
        violations.push_back("LOST: " + std::to_string(lost) +
                             " requests that sound targets ran got no answer");
    }
    return run.finish(violations);
}

}  // namespace

int main(int count, char** values) {
    try {
        review::case_run run(std::vector<std::string>(values, values + count));
        return static_cast<int>(play(run));
    } catch (const std::exception&) {
        return static_cast<int>(review::outcome::could_not_run);
    }
}
