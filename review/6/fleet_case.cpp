// All routers are restarted in turn while the store is down. The first one leads and grants long
// holds before it ends. The new leader knows nothing of them and grants the keys of a worker that
// it cannot see to another one, while the first worker still holds them.

#include <csignal>
#include <iostream>
#include <random>

#include "../common-2/fleet.hpp"

namespace {

using mimosavalve::gateway::boot_clock;
using mimosavalve::gateway::boot_time;
using mimosavalve::gateway::milliseconds;
using mimosavalve::review::fleet;
using mimosavalve::review::has_trouble;
using mimosavalve::review::key_count;
using mimosavalve::review::verdict;
using mimosavalve::review::worker;

constexpr milliseconds outage{4500};
constexpr milliseconds worker_cut{10000};
constexpr milliseconds restart_gap{1000};
// The rule allows that two workers hold the same keys for this time.
constexpr milliseconds allowed_overlap{500};
constexpr std::uint32_t key_step = 64;

/// Finds keys that two workers which are up hold for longer than the rule allows.
class holder_check {
public:
    explicit holder_check(fleet& deployment) : fleet_(deployment) {}

    void look() {
        const auto now = boot_clock::now();
        for (std::uint32_t key = 0; key < key_count; key += key_step) {
            std::string holders;
            int count = 0;
            for (const auto& [id, each] : fleet_.workers) {
                if (each->options().keyed && each->holds(key)) {
                    holders += (count > 0 ? " and " : "") + each->hold_text(key);
                    ++count;
                }
            }
            if (count < 2) {
                since_.erase(key);
                continue;
            }
            const auto began = since_.try_emplace(key, now).first->second;
            longest = std::max(longest, std::chrono::duration_cast<milliseconds>(now - began));
            if (now - began > allowed_overlap && !is_broken) {
                is_broken = true;
                fleet_.record.write("OWNER broken: key " + std::to_string(key) + " is held by " +
                                    holders);
            }
        }
    }

    bool is_broken = false;
    milliseconds longest{0};

private:
    fleet& fleet_;
    std::map<std::uint32_t, boot_time> since_;
};

verdict play(fleet& deployment) {
    for (const auto* id : {"k1", "k2", "k3", "k4", "k5"}) {
        deployment.add_worker({id, "status", "north-a", true});
    }
    deployment.put_config(1, {{"status", "safe", "status"}}, {{"status", true}});
    for (const auto* host : {"r1", "r2", "r3"}) {
        deployment.start_router(host);
    }
    if (!deployment.run_until_serving({"/status/x"}, milliseconds(20000))) {
        return verdict::not_run;
    }
    holder_check check(deployment);
    deployment.every(milliseconds(20), [&check] { check.look(); });
    std::mt19937 random(1);
    deployment.every(milliseconds(50), [&deployment, &random] {
        const auto hosts = deployment.hosts();
        const auto& host = hosts[random() % hosts.size()];
        if (deployment.is_running(host)) {
            deployment.request(host, "GET", "/status/x", random() % key_count);
        }
    });
    deployment.run_for(milliseconds(4000));
    const auto leader = deployment.leader();
    if (leader.empty()) {
        return verdict::not_run;
    }
    if (has_trouble()) {
        deployment.set_store_down(true);
        deployment.workers.at("k1")->reaches_store = false;
        deployment.record.write("worker k1 is cut off from the store");
    }
    deployment.run_for(milliseconds(300));
    deployment.stop_router(leader);
    auto waited = milliseconds(300);
    for (const auto& host : deployment.hosts()) {
        if (host != leader) {
            deployment.run_for(restart_gap);
            waited += restart_gap;
            deployment.stop_router(host);
        }
    }
    deployment.run_for(outage - waited);
    if (has_trouble()) {
        deployment.set_store_down(false);
    }
    deployment.run_for(worker_cut - outage);
    deployment.workers.at("k1")->reaches_store = true;
    deployment.record.write("worker k1 reaches the store");
    deployment.run_for(milliseconds(8000));
    deployment.record.write(
        "longest time with two holders: " + std::to_string(check.longest.count()) + " ms");
    return check.is_broken ? verdict::broken : verdict::held;
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
