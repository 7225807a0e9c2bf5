#include "control/target_plan.hpp"

#include <algorithm>

namespace mimosavalve::control::detail {

namespace {

using ownership::target_condition;

void add_change(planned_state& plan, std::string kind, const std::string& target,
                std::string cause) {
    event change;
    change.kind = std::move(kind);
    change.subject = target;
    change.cause = std::move(cause);
    plan.changes.push_back(std::move(change));
}

template <typename List>
bool contains(const List& list, const std::string& value) {
    return std::find(list.begin(), list.end(), value) != list.end();
}

const config::service_config* find_service(const control_state& self, const std::string& name) {
    const auto& services = self.config->services;
    const auto found =
        std::find_if(services.begin(), services.end(),
                     [&](const config::service_config& entry) { return entry.name == name; });
    return found == services.end() ? nullptr : &*found;
}

const ports::listed_host* find_listed(const control_state& self, const std::string& id) {
    const auto found = std::find_if(
        self.listed_hosts.begin(), self.listed_hosts.end(),
        [&](const ports::listed_host& host) { return host.role == "target" && host.id == id; });
    return found == self.listed_hosts.end() ? nullptr : &*found;
}

const reported_target* find_reported(const shard_entry& entry, const std::string& id) {
    const auto found = entry.leader->reported_targets.find(id);
    return found == entry.leader->reported_targets.end() ? nullptr : &found->second;
}

/// Returns the reason for which a target must hand over its slots; empty when it stays.
std::string reason_to_leave(const control_state& self, const shard_entry& entry,
                            const ownership::target& target) {
    // Drained here means that an operator has ordered the target to leave.
    if (contains(self.config->drained_targets, target.id)) {
        return "drained by an operator";
    }
    if (contains(self.config->removed_domains, target.failure_domain)) {
        return "failure domain " + target.failure_domain + " is removed";
    }
    const auto* listed = find_listed(self, target.id);
    if (listed != nullptr && listed->leaving) {
        return "the host list marks it as leaving";
    }
    const auto* reported = find_reported(entry, target.id);
    if (reported != nullptr && reported->leaving) {
        return "it reports that it is leaving";
    }
    return "";
}

/// Whether the target has recently answered this daemon itself. Only that proves that it is running
/// now, and with which instance.
bool answers_probes(const control_state& self, const shard_entry& entry, const std::string& id,
                    steady_time now) {
    const auto* reported = find_reported(entry, id);
    return reported != nullptr && reported->instance != 0 &&
           now - reported->own_success <= 2 * self.settings.intervals.probe_interval;
}

void update_condition(const control_state& self, const shard_entry& entry, planned_state& plan,
                      ownership::target& target, steady_time now) {
    if (contains(plan.lost_targets, target.id)) {
        target.condition = target_condition::lost;
        add_change(plan, "target-lost", target.id, "routers report failures and no success");
        return;
    }
    const auto leave_reason = reason_to_leave(self, entry, target);
    const auto wanted = leave_reason.empty() ? target_condition::active : target_condition::leaving;
    if (target.condition == target_condition::lost) {
        const auto from = earliest_return(entry.leader->losses, target.id, self.settings.intervals);
        if (now < from || !answers_probes(self, entry, target.id, now)) {
            return;
        }
        target.condition = wanted;
        target.instance = find_reported(entry, target.id)->instance;
        target.fresh_since = plan.next.at;
        add_change(plan, "target-return", target.id, "it answers probes again");
    } else if (target.condition != wanted) {
        target.condition = wanted;
        add_change(plan, wanted == target_condition::leaving ? "target-leave" : "target-stay",
                   target.id, leave_reason);
    }
}

void update_instance(const shard_entry& entry, planned_state& plan, ownership::target& target) {
    const auto* reported = find_reported(entry, target.id);
    if (reported == nullptr || target.condition == target_condition::lost) {
        return;
    }
    if (reported->instance != 0 && reported->instance != target.instance) {
        target.instance = reported->instance;
        target.fresh_since = plan.next.at;
        add_change(plan, "target-restart", target.id, "its instance has changed");
    } else if (reported->cold) {
        target.fresh_since = plan.next.at;
        add_change(plan, "target-cold", target.id, "a router reports that it turned cold");
    }
}

void update_description(const control_state& self, planned_state& plan, ownership::target& target) {
    const auto* service = find_service(self, target.service);
    const auto* listed = find_listed(self, target.id);
    auto updated = target;
    if (service != nullptr) {
        updated.checks_fence = service->checks_fence;
    }
    if (listed != nullptr) {
        updated.address = listed->address;
        updated.slots = listed->slots;
        updated.connections = listed->connections;
    }
    if (updated != target) {
        target = updated;
        add_change(plan, "target-change", target.id, "host list or configuration has changed");
    }
}

bool is_used(const ownership::shard_state& state, const std::string& id) {
    return std::any_of(state.assignments.begin(), state.assignments.end(),
                       [&](const ownership::assignment& assignment) {
                           return assignment.owner == id || assignment.previous_owner == id;
                       });
}

void remove_unlisted(const control_state& self, planned_state& plan) {
    // An empty host list is more likely a fault of the list than the removal of all targets.
    if (self.listed_hosts.empty()) {
        return;
    }
    auto& targets = plan.next.targets;
    for (auto target = targets.begin(); target != targets.end();) {
        const bool can_remove = target->condition != target_condition::active &&
                                find_listed(self, target->id) == nullptr &&
                                !is_used(plan.next, target->id);
        if (!can_remove) {
            ++target;
            continue;
        }
        add_change(plan, "target-removed", target->id,
                   "no longer in the host list and without slots");
        target = targets.erase(target);
    }
}

void add_listed(const control_state& self, const shard_entry& entry, planned_state& plan,
                steady_time now) {
    for (const auto& host : self.listed_hosts) {
        const auto* service = find_service(self, host.service);
        const bool is_new = host.role == "target" && host.region == self.settings.region &&
                            service != nullptr &&
                            ownership::find_target(plan.next, host.id) == nullptr;
        if (!is_new || !answers_probes(self, entry, host.id, now)) {
            continue;
        }
        ownership::target added;
        added.id = host.id;
        added.service = host.service;
        added.address = host.address;
        added.failure_domain = host.failure_domain;
        added.slots = host.slots;
        added.connections = host.connections;
        added.checks_fence = service->checks_fence;
        added.instance = find_reported(entry, host.id)->instance;
        added.fresh_since = plan.next.at;
        if (!reason_to_leave(self, entry, added).empty()) {
            continue;
        }
        add_change(plan, "target-join", added.id, "in the host list and answers probes");
        plan.next.targets.push_back(std::move(added));
    }
}

}  // namespace

void plan_targets(control_state& self, shard_entry& entry, planned_state& plan, steady_time now) {
    auto& leader = *entry.leader;
    plan.lost_targets =
        lost_targets(leader.losses, plan.next.targets, now, self.settings.intervals);
    for (auto& target : plan.next.targets) {
        update_condition(self, entry, plan, target, now);
        update_instance(entry, plan, target);
        update_description(self, plan, target);
    }
    for (auto& [id, reported] : leader.reported_targets) {
        reported.cold = false;
    }
    add_listed(self, entry, plan, now);
    remove_unlisted(self, plan);
}

}  // namespace mimosavalve::control::detail
