// A worker that has just started becomes cold again before its first cold time has ended.
#include <algorithm>

#include "../common/fleet.hpp"

namespace {

using namespace review;
using std::chrono::milliseconds;
using std::chrono::seconds;

// `warmupS` and `warmupPerS` of the site kvmrs-gate, and its bounds `coldOver` and `coldSlack`.
constexpr milliseconds cold_time{3000};
constexpr double cold_per_s = 5;
constexpr double allowed_per_s = cold_per_s * 1.5 + 5;
// "Crashes at a rate well above that": at twice what the rule allows, five times `warmupPerS`.
constexpr std::size_t crash_per_s = 25;
// The worker is cold again this long after its start.
constexpr milliseconds cold_again_after{2400};
constexpr milliseconds work_time{30};
constexpr int requests_per_s_and_router = 10;
constexpr seconds traffic_time{8};

struct arrivals {
    std::mutex guard;
    std::vector<clock::time_point> while_cold;
};

// Largest number of arrivals within one second.
std::size_t most_in_a_second(std::vector<clock::time_point> times) {
    std::sort(times.begin(), times.end());
    std::size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
        const auto end = std::lower_bound(first, times.end(), *first + seconds(1));
        most = std::max<std::size_t>(most, static_cast<std::size_t>(end - first));
    }
    return most;
}

void send_requests(recorder& record, const std::string& node, const std::string& address,
                   std::atomic<int>& lost) {
    const auto began = clock::now();
    for (int number = 0; number < requests_per_s_and_router * traffic_time.count(); ++number) {
        std::this_thread::sleep_until(began + number * seconds(1) / requests_per_s_and_router);
        auto to = connection::open(address, fleet::front_port);
        if (!to) {
            continue;
        }
        const auto id = node + "-" + std::to_string(number);
        to->send(request_head("POST", "/orders/a", id, 3000, {{"Content-Length", "5"}}) + "order");
        const auto answer = to->read_answer(clock::now() + seconds(3));
        lost += answer.content.status == 502 ? 1 : 0;
        record.line("client has sent " + id + " and received status " +
                    std::to_string(answer.content.status));
    }
}

}  // namespace

int main() {
    recorder record(record_path());
    fleet routers(record);
    routers.put_config(1, {{"orders", "unsafe", "desk", 1, 3000, 1000}}, {"desk"}, cold_per_s);
    arrivals cold_arrivals;
    const auto serve = [&](worker& self, const message& request, connection& to) {
        const auto left = self.cold_ms();
        record.line("worker " + self.settings().id + " runs " + request.value_of("Request-Id") +
                    (left > 0 ? ", cold for " + std::to_string(left) + " ms" : ""));
        if (left > 0) {
            const std::lock_guard lock(cold_arrivals.guard);
            cold_arrivals.while_cold.push_back(clock::now());
            if (most_in_a_second(cold_arrivals.while_cold) >= crash_per_s && !self.has_crashed()) {
                record.line("worker " + self.settings().id + " crashes");
                self.crash();
            }
        }
        return self.work_for(work_time) && self.answer(to, request, "done");
    };
    routers.write_entry(routers.add_worker({"i-1", "desk", "ktm-a"}, serve));
    if (!routers.start_routers()) {
        return could_not_run;
    }
    std::atomic<int> lost{0};
    std::vector<std::thread> clients;
    const auto leader = routers.leader();
    record.line("the leader is " + leader);
    for (const auto& node : routers.nodes()) {
        clients.emplace_back(
            [&, node] { send_requests(record, node, routers.address_of(node), lost); });
    }
    std::this_thread::sleep_for(seconds(1));
    auto& added = routers.add_worker({"i-2", "desk", "ktm-a"}, serve);
    added.be_cold_until(clock::now() + cold_time);
    routers.write_entry(added);
    record.line("worker i-2 starts, cold for 3000 ms");
    std::this_thread::sleep_for(cold_again_after);
    if (has_trouble()) {
        added.be_cold_until(clock::now() + cold_time);
        routers.write_entry(added);
        record.line("worker i-2 is cold again, for 3000 ms");
    }
    for (auto& client : clients) {
        client.join();
    }
    const std::lock_guard lock(cold_arrivals.guard);
    const auto most = most_in_a_second(cold_arrivals.while_cold);
    record.line("cold worker i-2: " + std::to_string(cold_arrivals.while_cold.size()) +
                " requests in all, at most " + std::to_string(most) +
                " in one second; allowed are " + std::to_string(allowed_per_s));
    record.line(std::to_string(lost) + " orders were answered 502");
    const bool broken = static_cast<double>(most) > allowed_per_s;
    record.line(broken ? "FAILBACK broken" : "FAILBACK held");
    return broken ? rule_broken : rule_held;
}
