// All machines lose power at once. Half of the routers, the leader among them, never come back, and
// new machines take their places at other addresses. The new leader waits for the routers that are
// gone before it moves a key, so the keys of the restarted workers are never served again.

#include <algorithm>
#include <csignal>
#include <iostream>
#include <random>

#include "../common-2/fleet.hpp"

namespace {

using mimosavalve::gateway::milliseconds;
using mimosavalve::review::client_outcome;
using mimosavalve::review::fleet;
using mimosavalve::review::has_trouble;
using mimosavalve::review::key_count;
using mimosavalve::review::verdict;

constexpr milliseconds down_time{1500};
constexpr milliseconds recover_time{15000};
constexpr milliseconds judged_time{20000};
constexpr double min_served = 0.25;
constexpr unsigned ok = 200;

/// Sends requests about many keys and counts those that are served.
class traffic {
public:
    explicit traffic(fleet& deployment) : fleet_(deployment) {}

    void send() {
        const auto hosts = fleet_.hosts();
        const auto& host = hosts[random_() % hosts.size()];
        if (fleet_.is_running(host)) {
            sent_.push_back(fleet_.request(host, "GET", "/status/x", random_() % key_count));
        }
    }
    /// Share of the requests since `begin` that were served.
    [[nodiscard]] double served_since(std::size_t begin) const {
        std::size_t served = 0;
        for (auto at = begin; at < sent_.size(); ++at) {
            served += sent_[at]->status == ok ? 1 : 0;
        }
        return sent_.size() > begin
                   ? static_cast<double>(served) / static_cast<double>(sent_.size() - begin)
                   : 0;
    }
    [[nodiscard]] std::size_t count() const { return sent_.size(); }

private:
    fleet& fleet_;
    std::mt19937 random_{1};
    std::vector<std::shared_ptr<client_outcome>> sent_;
};

verdict play(fleet& deployment) {
    for (const auto* id : {"k1", "k2", "k3", "k4"}) {
        deployment.add_worker({id, "status", "north-a", true});
    }
    deployment.put_config(1, {{"status", "safe", "status"}}, {{"status", true}});
    for (const auto* host : {"r1", "r2", "r3", "r4"}) {
        deployment.start_router(host);
    }
    if (!deployment.run_until_serving({"/status/x"}, milliseconds(20000))) {
        return verdict::not_run;
    }
    traffic clients(deployment);
    deployment.every(milliseconds(50), [&clients] { clients.send(); });
    deployment.run_for(milliseconds(6000));
    const auto served_before = clients.served_since(0);
    const auto leader = deployment.leader();
    if (leader.empty() || served_before < min_served) {
        return verdict::not_run;
    }
    deployment.record.write("all machines lose power");
    const auto hosts = deployment.hosts();
    // The leader and others, half of all.
    std::vector<std::string> gone;
    if (has_trouble()) {
        gone.push_back(leader);
    }
    for (const auto& host : hosts) {
        if (!gone.empty() && gone.size() < hosts.size() / 2 && host != leader) {
            gone.push_back(host);
        }
    }
    for (const auto& host : hosts) {
        if (std::find(gone.begin(), gone.end(), host) != gone.end()) {
            deployment.remove_router(host);
        } else {
            deployment.signal_router(host, SIGKILL);
        }
    }
    std::vector<std::string> ids;
    for (const auto& [id, each] : deployment.workers) {
        ids.push_back(id);
    }
    for (const auto& id : ids) {
        auto& lost = *deployment.workers.at(id);
        lost.crash();
        deployment.restart_later(lost, down_time);
    }
    deployment.run_for(down_time);
    for (std::size_t number = 0; number < gone.size(); ++number) {
        deployment.start_router("new-" + std::to_string(number + 1));
    }
    deployment.record.write("all machines are back");
    deployment.run_for(recover_time);
    const auto begin = clients.count();
    deployment.run_for(judged_time);
    const auto served = clients.served_since(begin);
    deployment.record.write("served before the fault: " + std::to_string(served_before) +
                            ", of the " + std::to_string(clients.count() - begin) +
                            " requests sent later than 15 s after it: " + std::to_string(served));
    if (served < min_served) {
        deployment.record.write("RECOVER broken: less than a quarter is served");
        return verdict::broken;
    }
    return verdict::held;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        std::cerr << "usage: case RECORD\n";
        return static_cast<int>(verdict::not_run);
    }
    try {
        fleet deployment(argv[1]);
        const auto result = play(deployment);
        deployment.record.write("exit " + std::to_string(static_cast<int>(result)));
        return static_cast<int>(result);
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return static_cast<int>(verdict::not_run);
    }
}
