#include "control/handover.hpp"

#include <algorithm>

#include "control/leader_role.hpp"
#include "control/router_role.hpp"

namespace mimosavalve::control::detail {

namespace {

bool overlaps(const ownership::slot_range& range, const ownership::assignment& assignment) {
    return range.service == assignment.service &&
           range.first_slot < assignment.first_slot + assignment.count &&
           assignment.first_slot < range.first_slot + range.count;
}

bool covers(const ownership::assignment& outer, const ownership::assignment& inner) {
    return outer.service == inner.service && outer.owner == inner.owner &&
           outer.fence == inner.fence && outer.first_slot <= inner.first_slot &&
           inner.first_slot + inner.count <= outer.first_slot + outer.count;
}

bool has_previous_owner(const handover& item) {
    return !item.assignment.previous_owner.empty();
}

/// Whether the previous owner, if there is one, is proved to have stopped: by a revocation that it
/// confirmed, or by waiting for `start_window` after the version came in force.
bool has_previous_owner_stopped(const control_state& self, const handover& item, steady_time now) {
    if (!has_previous_owner(item)) {
        return true;
    }
    if (!item.in_force_since) {
        return false;
    }
#ifdef MV_WITHOUT_START_BY_WAIT
    (void)self;
    (void)now;
    return true;
#else
    const auto& intervals = self.settings.intervals;
    const auto wait = lengthened(intervals.start_window, intervals) + intervals.start_margin;
    return item.revoked || now >= *item.in_force_since + wait;
#endif
}

/// Whether a revocation may be sent as proof. It proves enough only when the recorded previous
/// owner is the only target that may still serve the slots.
bool can_revoke(const shard_entry& entry, const handover& item) {
    const auto* previous = ownership::find_target(*entry.state, item.assignment.previous_owner);
    if (previous == nullptr || !previous->checks_fence ||
        item.assignment.previous_owner == item.assignment.owner ||
        previous->condition == ownership::target_condition::lost) {
        return false;
    }
    const auto& wait_only = entry.leader->wait_only_slots;
    return std::none_of(wait_only.begin(), wait_only.end(),
                        [&](const auto& range) { return overlaps(range, item.assignment); });
}

std::uint64_t instance_of(const shard_entry& entry, const ownership::target& owner) {
    const auto reported = entry.leader->reported_targets.find(owner.id);
    const bool has_report =
        reported != entry.leader->reported_targets.end() && reported->second.instance != 0;
    return has_report ? reported->second.instance : owner.instance;
}

ports::slot_grant grant_of(const ownership::assignment& assignment) {
    return {assignment.service, assignment.first_slot, assignment.count, assignment.fence};
}

steady_time call_deadline(const control_state& self, const shard_entry& entry, steady_time now) {
    const auto max_deadline = now + self.settings.intervals.target_call_timeout;
#ifdef MV_WITHOUT_LEASE_CHECK
    (void)entry;
    return max_deadline;
#else
    return std::min(max_deadline, entry.lease->until());
#endif
}

handover* find_handover(shard_entry& entry, const ownership::assignment& assignment) {
    auto& items = entry.leader->handovers;
    const auto found = std::find_if(items.begin(), items.end(), [&](const handover& item) {
        return item.assignment.service == assignment.service &&
               item.assignment.first_slot == assignment.first_slot &&
               item.assignment.count == assignment.count &&
               item.assignment.owner == assignment.owner &&
               item.assignment.fence == assignment.fence;
    });
    return found == items.end() ? nullptr : &*found;
}

void send_revokes(control_state& self, shard_entry& entry, steady_time now) {
    std::map<std::string, std::vector<ownership::assignment>> by_target;
    for (auto& item : entry.leader->handovers) {
        const bool due = has_previous_owner(item) && item.in_force_since && !item.revoked &&
                         !item.granted && now >= item.next_revoke;
        if (due && can_revoke(entry, item)) {
            item.next_revoke = now + self.settings.intervals.target_call_timeout;
            by_target[item.assignment.previous_owner].push_back(item.assignment);
        }
    }
    for (auto& [id, assignments] : by_target) {
        if (!can_act(self, entry, now_of(self))) {
            return;
        }
        std::vector<ports::slot_grant> grants;
        std::transform(assignments.begin(), assignments.end(), std::back_inserter(grants),
                       grant_of);
        auto done = [&self, &entry, id = id, assignments = assignments](std::error_code error) {
            const auto at = now_of(self);
            for (const auto& assignment : assignments) {
                auto* item = is_leading(self, entry) ? find_handover(entry, assignment) : nullptr;
                if (item == nullptr) {
                    continue;
                }
                item->revoked = item->revoked || !error;
                item->next_revoke = at + self.settings.intervals.resend_interval;
            }
            record_event(self, "revoke", id, error ? error.message() : "the target confirmed it",
                         &entry);
            advance_leader(self, entry, at);
        };
        self.ports.targets.revoke(ownership::find_target(*entry.state, id)->address,
                                  std::move(grants), call_deadline(self, entry, now),
                                  guarded(self, done));
    }
}

void send_grants(control_state& self, shard_entry& entry, steady_time now) {
    std::map<std::string, std::vector<ownership::assignment>> by_target;
    for (auto& item : entry.leader->handovers) {
        const auto* owner = ownership::find_target(*entry.state, item.assignment.owner);
        const bool can_receive_grant =
            owner != nullptr && owner->condition != ownership::target_condition::lost;
        if (!can_receive_grant || now < item.next_grant ||
            !has_previous_owner_stopped(self, item, now)) {
            continue;
        }
        if (item.granted && item.granted_instance == instance_of(entry, *owner)) {
            continue;
        }
        item.next_grant = now + self.settings.intervals.target_call_timeout;
        by_target[owner->id].push_back(item.assignment);
    }
    for (auto& [id, assignments] : by_target) {
        if (!can_act(self, entry, now_of(self))) {
            return;
        }
        const auto& owner = *ownership::find_target(*entry.state, id);
        std::vector<ports::slot_grant> grants;
        std::transform(assignments.begin(), assignments.end(), std::back_inserter(grants),
                       grant_of);
        auto done = [&self, &entry, id = id, assignments = assignments,
                     instance = instance_of(entry, owner)](std::error_code error) {
            const auto at = now_of(self);
            for (const auto& assignment : assignments) {
                auto* item = is_leading(self, entry) ? find_handover(entry, assignment) : nullptr;
                if (item == nullptr) {
                    continue;
                }
                item->next_grant = at + self.settings.intervals.resend_interval;
                if (!error) {
                    item->granted = true;
                    item->granted_instance = instance;
                }
            }
            record_event(self, "grant", id, error ? error.message() : "the target accepted it",
                         &entry);
            advance_leader(self, entry, at);
        };
        self.ports.targets.grant(owner.address, std::move(grants), call_deadline(self, entry, now),
                                 guarded(self, done));
    }
}

/// Returns the newest version up to which all handovers are finished.
version activated_version(const shard_entry& entry) {
    auto result = entry.state->at;
    for (const auto& item : entry.leader->handovers) {
        if (has_previous_owner(item) && !is_finished(item) && item.assignment.fence <= result) {
            result = {item.assignment.fence.epoch, item.assignment.fence.sequence - 1};
        }
    }
    return result;
}

/// Excludes the current handovers from the proof by revocation while a write is pending: the write
/// may move slots that are activated now, and their recorded previous owner is then not the only
/// target that may serve them.
void exclude_handovers_from_revocation(shard_entry& entry) {
    if (!entry.leader->write) {
        return;
    }
    for (const auto& item : entry.leader->handovers) {
        if (has_previous_owner(item)) {
            entry.leader->wait_only_slots.push_back(
                {item.assignment.service, item.assignment.first_slot, item.assignment.count});
        }
    }
}

void activate(control_state& self, shard_entry& entry, steady_time now) {
    const auto reached = activated_version(entry);
    if (reached <= entry.activated || !can_act(self, entry, now)) {
        return;
    }
    exclude_handovers_from_revocation(entry);
    record_activated(self, entry, reached);
    record_event(self, "activate", to_string(reached), "the previous owners have stopped", &entry);
}

}  // namespace

bool is_finished(const handover& item) {
    // A grant is sent only once the previous owner is proved to have stopped.
    return item.granted;
}

void update_handovers(shard_entry& entry, bool new_epoch) {
    auto& leader = *entry.leader;
    std::vector<handover> items;
    bool has_any_previous_owner = false;
    if (new_epoch) {
        leader.wait_only_slots.clear();
    }
    for (const auto& assignment : entry.state->assignments) {
        if (assignment.owner.empty()) {
            continue;
        }
        const auto known =
            std::find_if(leader.handovers.begin(), leader.handovers.end(),
                         [&](const handover& item) { return covers(item.assignment, assignment); });
        handover item = known == leader.handovers.end() ? handover{} : *known;
        item.assignment = assignment;
        has_any_previous_owner = has_any_previous_owner || has_previous_owner(item);
        if (new_epoch && has_previous_owner(item)) {
            leader.wait_only_slots.push_back(
                {assignment.service, assignment.first_slot, assignment.count});
        }
        items.push_back(std::move(item));
    }
    leader.handovers = std::move(items);
    leader.finished_since.reset();
    if (!has_any_previous_owner) {
        leader.wait_only_slots.clear();
    }
}

void advance_handovers(control_state& self, shard_entry& entry, steady_time now) {
    if (!can_act(self, entry, now)) {
        return;
    }
    auto& leader = *entry.leader;
    for (auto& item : leader.handovers) {
        if (!item.in_force_since) {
            item.in_force_since = leader.in_force_since;
        }
    }
    send_revokes(self, entry, now);
    send_grants(self, entry, now);
    activate(self, entry, now);
    const bool any_finished = std::any_of(
        leader.handovers.begin(), leader.handovers.end(),
        [](const handover& item) { return has_previous_owner(item) && is_finished(item); });
    if (any_finished && !leader.finished_since) {
        leader.finished_since = now;
    }
}

bool is_cleanup_due(const control_state& self, const shard_entry& entry, steady_time now) {
    const auto& leader = *entry.leader;
    if (!leader.finished_since) {
        return false;
    }
    const bool all_finished = std::all_of(
        leader.handovers.begin(), leader.handovers.end(),
        [](const handover& item) { return !has_previous_owner(item) || is_finished(item); });
    return all_finished ||
           now >= *leader.finished_since + self.settings.intervals.max_cleanup_delay;
}

void clear_finished_handovers(const shard_entry& entry, ownership::shard_state& next) {
    for (const auto& item : entry.leader->handovers) {
        if (has_previous_owner(item) && is_finished(item)) {
            ownership::finish_handover(next, item.assignment.service, item.assignment.first_slot,
                                       item.assignment.count);
        }
    }
}

}  // namespace mimosavalve::control::detail
