#include "control/leader_plan.hpp"

#include <algorithm>

#include "control/handover.hpp"
#include "control/leader_role.hpp"
#include "control/shard_write.hpp"
#include "control/store_lease.hpp"
#include "control/target_plan.hpp"
#include "mimosavalve/control/membership.hpp"

namespace mimosavalve::control::detail {

namespace {

std::vector<ownership::slot_range> ranges_of(const control_state& self, const shard_id& shard) {
    std::vector<ownership::slot_range> result;
    for (const auto& service : self.config->services) {
        if (!service.keyed) {
            continue;
        }
        auto range = ownership::slots_of_shard(service.name, service.slots_per_region,
                                               self.config->shards_per_region, shard.index);
        if (range.count > 0) {
            result.push_back(std::move(range));
        }
    }
    return result;
}

bool is_removed(const control_state& self, const std::string& failure_domain) {
    const auto& removed = self.config->removed_domains;
    return std::find(removed.begin(), removed.end(), failure_domain) != removed.end();
}

/// Returns the routers of the region that have recently renewed with this daemon. A new leader also
/// counts the voters that have not renewed with it yet, for `peer_timeout`, except those recorded
/// as dead.
std::vector<candidate> candidates_of(const control_state& self, const shard_entry& entry,
                                     steady_time now) {
    std::vector<candidate> result;
    const auto& leader = *entry.leader;
    const bool new_leader = now < leader.leading_since + self.settings.intervals.peer_timeout;
    for (const auto& voter : entry.state->voters) {
        const bool is_unconfirmed = new_leader && !self.routers.contains(voter.id) &&
                                    !leader.replaced_voters.contains(voter.id);
        if (is_unconfirmed) {
            result.push_back({voter.id, voter.address, voter.failure_domain, true,
                              is_removed(self, voter.failure_domain)});
        }
    }
    for (const auto& [id, peer] : self.routers) {
        if (peer.region == self.settings.region && !leader.replaced_voters.contains(id)) {
            result.push_back({id, peer.address, peer.failure_domain, true,
                              peer.stopping || is_removed(self, peer.failure_domain)});
        }
    }
    return result;
}

event change(std::string kind, std::string subject, std::string cause) {
    event result;
    result.kind = std::move(kind);
    result.subject = std::move(subject);
    result.cause = std::move(cause);
    return result;
}

void plan_membership(const control_state& self, const shard_entry& entry, planned_state& plan,
                     steady_time now) {
    const auto step =
        next_membership_step(plan.next, candidates_of(self, entry, now), self.settings.intervals);
    if (!step) {
        return;
    }
    plan.next.voters = step->voters;
    plan.next.store_weight = step->store_weight;
    plan.changes.push_back(change("voters", to_string(plan.next.shard), step->reason));
}

void apply_moves(planned_state& plan, const std::vector<ownership::slot_move>& moves) {
    for (const auto& move : moves) {
        ownership::assign(plan.next, move.slots.service, move.slots.first_slot, move.slots.count,
                          move.owner, plan.next.at);
        const auto last = move.slots.first_slot + move.slots.count - 1;
        plan.changes.push_back(change("move",
                                      move.slots.service + " " +
                                          std::to_string(move.slots.first_slot) + "-" +
                                          std::to_string(last) + " to " + move.owner,
                                      move.reason));
    }
}

void plan_placement(const control_state& self, shard_entry& entry, planned_state& plan,
                    steady_time now) {
    auto& leader = *entry.leader;
    const auto ranges = ranges_of(self, entry.id);
    auto moves = ownership::place_slots(plan.next, ranges, leader.slot_load);
    const auto& intervals = self.settings.intervals;
    if (moves.empty() && now >= leader.next_rebalance) {
        leader.next_rebalance = now + intervals.rebalance_interval;
        ownership::rebalance_limits limits;
        limits.max_moves_per_round = intervals.max_moves_per_round;
        moves =
            ownership::rebalance(plan.next, ranges, leader.slot_load, limits, leader.rebalancing);
    }
    apply_moves(plan, moves);
}

void plan_config(const control_state& self, planned_state& plan) {
    if (self.config->version <= plan.next.config_version) {
        return;
    }
    plan.next.config_version = self.config->version;
    plan.changes.push_back(change("config", std::to_string(self.config->version),
                                  "a newer configuration is accepted"));
}

/// Reduces each load count by a quarter of it, rounded down, so that a slot that has become idle is
/// not moved because of its earlier load.
void decay_load(leadership& leader) {
    for (auto& load : leader.slot_load) {
        load.requests -= load.requests / 4;
    }
    std::erase_if(leader.slot_load, [](const auto& load) { return load.requests == 0; });
}

}  // namespace

void plan_and_write(control_state& self, shard_entry& entry, steady_time now) {
    const bool ready = self.config && !entry.leader->write && entry.leader->revision &&
                       !self.resigning_since && can_write_state(self, entry, now);
    if (!ready) {
        return;
    }
    planned_state plan;
    plan.next = *entry.state;
    plan.next.at.sequence += 1;
    const bool finish = is_cleanup_due(self, entry, now);
    clear_finished_handovers(entry, plan.next);
    const bool rebalance_was_due = now >= entry.leader->next_rebalance;
    if (can_act(self, entry, now)) {
        plan_targets(self, entry, plan, now);
        plan_placement(self, entry, plan, now);
    }
    plan_membership(self, entry, plan, now);
    plan_config(self, plan);
    if (rebalance_was_due) {
        decay_load(*entry.leader);
    }
    if (plan.changes.empty() && !finish) {
        return;
    }
    begin_write(self, entry, std::move(plan.next), std::move(plan.lost_targets),
                std::move(plan.changes), now);
}

}  // namespace mimosavalve::control::detail
