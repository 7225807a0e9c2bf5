#include "control/handover.hpp"

#include <algorithm>

#include "control/leader_role.hpp"
#include "control/router_role.hpp"

namespace mimosavalve::control::detail {

namespace {

bool overlaps(const ownership::slot_range& range, const ownership::assignment& run) {
    return range.service == run.service && range.first_slot < run.first_slot + run.count &&
           run.first_slot < range.first_slot + range.count;
}

bool covers(const ownership::assignment& outer, const ownership::assignment& inner) {
    return outer.service == inner.service && outer.owner == inner.owner &&
           outer.fence == inner.fence && outer.first_slot <= inner.first_slot &&
           inner.first_slot + inner.count <= outer.first_slot + outer.count;
}

bool is_moved(const handover& item) {
    return !item.assignment.previous_owner.empty();
}

bool is_proved(const control_state& self, const handover& item, steady_time now) {
    if (!is_moved(item)) {
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

/// A revocation proves enough only when the recorded previous owner is the only one that may serve.
bool may_revoke(const shard_entry& entry, const handover& item) {
    const auto* previous = ownership::find_target(*entry.state, item.assignment.previous_owner);
    if (previous == nullptr || !previous->checks_fence ||
        item.assignment.previous_owner == item.assignment.owner ||
        previous->condition == ownership::target_condition::lost) {
        return false;
    }
    const auto& timed = entry.leader->wait_only_slots;
    return std::none_of(timed.begin(), timed.end(),
                        [&](const auto& range) { return overlaps(range, item.assignment); });
}

std::uint64_t instance_of(const shard_entry& entry, const ownership::target& owner) {
    const auto seen = entry.leader->reported_targets.find(owner.id);
    const bool newer = seen != entry.leader->reported_targets.end() && seen->second.instance != 0;
    return newer ? seen->second.instance : owner.instance;
}

ports::slot_grant grant_of(const ownership::assignment& run) {
    return {run.service, run.first_slot, run.count, run.fence};
}

steady_time order_deadline(const control_state& self, const shard_entry& entry, steady_time now) {
    const auto longest = now + self.settings.intervals.target_call_timeout;
#ifdef MV_WITHOUT_LEASE_CHECK
    (void)entry;
    return longest;
#else
    return std::min(longest, entry.lease->until());
#endif
}

handover* find_handover(shard_entry& entry, const ownership::assignment& run) {
    auto& items = entry.leader->handovers;
    const auto found = std::find_if(items.begin(), items.end(), [&](const handover& item) {
        return item.assignment.service == run.service &&
               item.assignment.first_slot == run.first_slot && item.assignment.count == run.count &&
               item.assignment.owner == run.owner && item.assignment.fence == run.fence;
    });
    return found == items.end() ? nullptr : &*found;
}

void send_revokes(control_state& self, shard_entry& entry, steady_time now) {
    std::map<std::string, std::vector<ownership::assignment>> by_target;
    for (auto& item : entry.leader->handovers) {
        const bool due = is_moved(item) && item.in_force_since && !item.revoked && !item.granted &&
                         now >= item.next_revoke;
        if (due && may_revoke(entry, item)) {
            item.next_revoke = now + self.settings.intervals.target_call_timeout;
            by_target[item.assignment.previous_owner].push_back(item.assignment);
        }
    }
    for (auto& [id, runs] : by_target) {
        if (!can_act(self, entry, now_of(self))) {
            return;
        }
        std::vector<ports::slot_grant> grants;
        std::transform(runs.begin(), runs.end(), std::back_inserter(grants), grant_of);
        auto done = [&self, &entry, id = id, runs = runs](std::error_code error) {
            const auto at = now_of(self);
            for (const auto& run : runs) {
                auto* item = is_leading(self, entry) ? find_handover(entry, run) : nullptr;
                if (item == nullptr) {
                    continue;
                }
                item->revoked = item->revoked || !error;
                item->next_revoke = at + self.settings.intervals.resend_interval;
            }
            record_event(self, "revoke", id, error ? error.message() : "the target confirmed",
                         &entry);
            advance_leader(self, entry, at);
        };
        self.ports.targets.revoke(ownership::find_target(*entry.state, id)->address,
                                  std::move(grants), order_deadline(self, entry, now),
                                  guarded(self, done));
    }
}

void send_grants(control_state& self, shard_entry& entry, steady_time now) {
    std::map<std::string, std::vector<ownership::assignment>> by_target;
    for (auto& item : entry.leader->handovers) {
        const auto* owner = ownership::find_target(*entry.state, item.assignment.owner);
        const bool reachable =
            owner != nullptr && owner->condition != ownership::target_condition::lost;
        if (!reachable || now < item.next_grant || !is_proved(self, item, now)) {
            continue;
        }
        if (item.granted && item.granted_instance == instance_of(entry, *owner)) {
            continue;
        }
        item.next_grant = now + self.settings.intervals.target_call_timeout;
        by_target[owner->id].push_back(item.assignment);
    }
    for (auto& [id, runs] : by_target) {
        if (!can_act(self, entry, now_of(self))) {
            return;
        }
        const auto& owner = *ownership::find_target(*entry.state, id);
        std::vector<ports::slot_grant> grants;
        std::transform(runs.begin(), runs.end(), std::back_inserter(grants), grant_of);
        auto done = [&self, &entry, id = id, runs = runs,
                     instance = instance_of(entry, owner)](std::error_code error) {
            const auto at = now_of(self);
            for (const auto& run : runs) {
                auto* item = is_leading(self, entry) ? find_handover(entry, run) : nullptr;
                if (item == nullptr) {
                    continue;
                }
                item->next_grant = at + self.settings.intervals.resend_interval;
                if (!error) {
                    item->granted = true;
                    item->granted_instance = instance;
                }
            }
            record_event(self, "grant", id, error ? error.message() : "the target accepted",
                         &entry);
            advance_leader(self, entry, at);
        };
        self.ports.targets.grant(owner.address, std::move(grants), order_deadline(self, entry, now),
                                 guarded(self, done));
    }
}

/// Newest version up to which every moved run is finished.
version activated_version(const shard_entry& entry) {
    auto result = entry.state->at;
    for (const auto& item : entry.leader->handovers) {
        if (is_moved(item) && !is_finished(item) && item.assignment.fence <= result) {
            result = {item.assignment.fence.epoch, item.assignment.fence.sequence - 1};
        }
    }
    return result;
}

/// While a write is under way it may move a run that is activated now; its recorded previous owner
/// is then not the only one that may serve.
void protect_pending_write(shard_entry& entry) {
    if (!entry.leader->write) {
        return;
    }
    for (const auto& item : entry.leader->handovers) {
        if (is_moved(item)) {
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
    protect_pending_write(entry);
    record_activated(self, entry, reached);
    record_event(self, "activate", to_string(reached), "previous owners have stopped", &entry);
}

}  // namespace

bool is_finished(const handover& item) {
    return item.granted;
}

void update_handovers(shard_entry& entry, bool new_epoch) {
    auto& leader = *entry.leader;
    std::vector<handover> items;
    bool any_moved = false;
    if (new_epoch) {
        leader.wait_only_slots.clear();
    }
    for (const auto& run : entry.state->assignments) {
        if (run.owner.empty()) {
            continue;
        }
        const auto known =
            std::find_if(leader.handovers.begin(), leader.handovers.end(),
                         [&](const handover& item) { return covers(item.assignment, run); });
        handover item = known == leader.handovers.end() ? handover{} : *known;
        item.assignment = run;
        any_moved = any_moved || is_moved(item);
        if (new_epoch && is_moved(item)) {
            leader.wait_only_slots.push_back({run.service, run.first_slot, run.count});
        }
        items.push_back(std::move(item));
    }
    leader.handovers = std::move(items);
    leader.finished_since.reset();
    if (!any_moved) {
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
    const bool any =
        std::any_of(leader.handovers.begin(), leader.handovers.end(),
                    [](const handover& item) { return is_moved(item) && is_finished(item); });
    if (any && !leader.finished_since) {
        leader.finished_since = now;
    }
}

bool is_finish_due(const control_state& self, const shard_entry& entry, steady_time now) {
    const auto& leader = *entry.leader;
    if (!leader.finished_since) {
        return false;
    }
    const bool all =
        std::all_of(leader.handovers.begin(), leader.handovers.end(),
                    [](const handover& item) { return !is_moved(item) || is_finished(item); });
    return all || now >= *leader.finished_since + self.settings.intervals.max_finish_delay;
}

void clear_finished_handovers(const shard_entry& entry, ownership::shard_state& next) {
    for (const auto& item : entry.leader->handovers) {
        if (is_moved(item) && is_finished(item)) {
            ownership::finish_handover(next, item.assignment.service, item.assignment.first_slot,
                                       item.assignment.count);
        }
    }
}

}  // namespace mimosavalve::control::detail
