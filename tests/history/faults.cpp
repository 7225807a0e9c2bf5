#include "history/faults.hpp"

#include <array>

namespace mimosavalve::test {

namespace {

constexpr std::array<const char*, fault_kind_count> fault_names{
    "message loss", "message delay",      "domain cut",     "host cut",       "peers cut",
    "host pause",   "host restart",       "leader pause",   "leader restart", "leader store cut",
    "store outage", "store answers lost", "target restart", "target freeze",  "target leave",
    "target drain", "config change"};

constexpr double loss_probability = 0.3;

void begin_host_fault(simulation& fleet, const fault& entry, std::size_t host) {
    switch (entry.kind) {
        case fault_kind::host_cut:
            fleet.hosts[host].isolated = true;
            fleet.run_after(entry.length, [&fleet, host] { fleet.hosts[host].isolated = false; });
            break;
        case fault_kind::peers_cut:
            fleet.hosts[host].peers_cut = true;
            fleet.run_after(entry.length, [&fleet, host] { fleet.hosts[host].peers_cut = false; });
            break;
        case fault_kind::leader_store_cut:
            fleet.hosts[host].store_cut = true;
            fleet.run_after(entry.length, [&fleet, host] { fleet.hosts[host].store_cut = false; });
            break;
        case fault_kind::host_pause:
        case fault_kind::leader_pause:
            fleet.pause_host(host);
            fleet.run_after(entry.length, [&fleet, host] { fleet.resume_host(host); });
            break;
        default:
            fleet.kill_host(host);
            fleet.run_after(entry.length, [&fleet, host] {
                if (!fleet.hosts[host].alive) {
                    fleet.start_host(host);
                }
            });
            break;
    }
}

void begin_target_fault(simulation& fleet, const fault& entry) {
    const auto index = entry.index % fleet.targets.size();
    if (entry.kind == fault_kind::target_restart) {
        fleet.kill_target(index);
        fleet.run_after(entry.length, [&fleet, index] { fleet.start_target(index); });
    } else if (entry.kind == fault_kind::target_freeze) {
        fleet.freeze_target(index);
        fleet.run_after(entry.length, [&fleet, index] { fleet.unfreeze_target(index); });
    } else if (entry.kind == fault_kind::target_drain) {
        // Unlike a change of the host list, a change of the configuration reaches the leader at
        // once.
        const auto id = fleet.targets[index].id;
        fleet.change_config([&](config::fleet_config& next) { next.drained_targets = {id}; });
        fleet.run_after(entry.length, [&fleet] {
            fleet.change_config([](config::fleet_config& next) { next.drained_targets.clear(); });
        });
    } else {
        fleet.targets[index].leaving = true;
        fleet.run_after(entry.length, [&fleet, index] { fleet.targets[index].leaving = false; });
    }
}

void begin(simulation& fleet, const fault& entry) {
    switch (entry.kind) {
        case fault_kind::message_loss:
            fleet.message_loss = loss_probability;
            fleet.run_after(entry.length, [&fleet] { fleet.message_loss = 0; });
            break;
        case fault_kind::message_delay:
            fleet.max_extra_delay = milliseconds(300);
            fleet.run_after(entry.length, [&fleet] { fleet.max_extra_delay = milliseconds(0); });
            break;
        case fault_kind::domain_cut: {
            const std::string domain = entry.index % 2 == 0 ? "a" : "b";
            fleet.cut_domains.insert(domain);
            fleet.run_after(entry.length, [&fleet, domain] { fleet.cut_domains.erase(domain); });
            break;
        }
        case fault_kind::store_outage:
            fleet.store_up = false;
            fleet.run_after(entry.length, [&fleet] { fleet.store_up = true; });
            break;
        case fault_kind::store_answers_lost:
            fleet.store_answer_loss = 0.5;
            fleet.run_after(entry.length, [&fleet] { fleet.store_answer_loss = 0; });
            break;
        case fault_kind::config_change:
            fleet.change_config([](config::fleet_config&) {});
            break;
        case fault_kind::target_restart:
        case fault_kind::target_freeze:
        case fault_kind::target_leave:
        case fault_kind::target_drain:
            begin_target_fault(fleet, entry);
            break;
        case fault_kind::host_cut:
        case fault_kind::peers_cut:
        case fault_kind::host_pause:
        case fault_kind::host_restart:
            begin_host_fault(fleet, entry, entry.index % fleet.hosts.size());
            break;
        case fault_kind::leader_pause:
        case fault_kind::leader_restart:
        case fault_kind::leader_store_cut:
            if (const auto leader = fleet.leader()) {
                begin_host_fault(fleet, entry, *leader);
            }
            break;
    }
}

}  // namespace

std::string to_string(const fault& entry) {
    return std::string(fault_names.at(static_cast<std::size_t>(entry.kind))) + " of " +
           std::to_string(entry.index) + " at " + std::to_string(entry.begin.count()) + " ms for " +
           std::to_string(entry.length.count()) + " ms";
}

void schedule(simulation& fleet, const fault& entry) {
    fleet.run_after(entry.begin, [&fleet, entry] { begin(fleet, entry); });
}

void end_all_faults(simulation& fleet) {
    fleet.message_loss = 0;
    fleet.max_extra_delay = milliseconds(0);
    fleet.cut_domains.clear();
    fleet.store_up = true;
    fleet.store_answer_loss = 0;
    fleet.change_config([](config::fleet_config& next) { next.drained_targets.clear(); });
    for (std::size_t index = 0; index < fleet.hosts.size(); ++index) {
        fleet.hosts[index].isolated = false;
        fleet.hosts[index].store_cut = false;
        fleet.hosts[index].peers_cut = false;
        fleet.resume_host(index);
        if (!fleet.hosts[index].alive) {
            fleet.start_host(index);
        }
    }
    for (std::size_t index = 0; index < fleet.targets.size(); ++index) {
        fleet.targets[index].leaving = false;
        fleet.unfreeze_target(index);
        fleet.start_target(index);
    }
}

}  // namespace mimosavalve::test
