// A target begins to work on orders, fails, and answers 503 without "Not-Executed".
#include <exception>

#include "case_run.hpp"

namespace {

using namespace mimosavalve;
using gateway::milliseconds;

constexpr int order_targets = 8;  // One of them is a share of 0.125.
constexpr int clients_per_router = 4;
constexpr auto warm_up = milliseconds(2000);
constexpr auto observed = milliseconds(6500);
constexpr unsigned status_misdirected = 421;

bool is_promise(unsigned status) {
    return status == 503 || status == 429 || status == 408 || status == status_misdirected;
}

review::outcome play(review::case_run& run) {
    auto& fleet = run.fleet;
    run.add_target("k1", "status", true);
    for (int number = 1; number <= order_targets; ++number) {
        run.add_target("o" + std::to_string(number), "orders", false);
    }
    for (auto& [id, target] : fleet.targets) {
        target->slow_path = "/orders/slow";
        target->slow_work_time = milliseconds(150);
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
    platform::testing::faults().failing_target = "o1";
    platform::testing::faults().fails_one_run_in = run.has_trouble() ? 3 : 0;
    fleet.run_for(observed);
    platform::testing::faults().fails_one_run_in = 0;
    run.stop_clients();
    run.note("runs that failed with 503: " +
             std::to_string(platform::testing::faults().failed_runs));
    std::vector<std::string> violations;
    for (const auto& request : run.requests) {
        if (is_promise(request.status) && fleet.history.runs_by_request.contains(request.id)) {
            violations.push_back("REFUSED: " + request.method + " " + request.id + " is answered " +
                                 std::to_string(request.status) + " and has run");
        }
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
