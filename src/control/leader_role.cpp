#include "control/leader_role.hpp"

#include <algorithm>

#include "control/evidence.hpp"
#include "control/handover.hpp"
#include "control/leader_plan.hpp"
#include "control/shard_write.hpp"
#include "control/store_lease.hpp"
#include "ownership/shard_state_codec.hpp"

namespace mimosavalve::control::detail {

namespace {

shard_entry* find_led_shard(control_state& self, const wire::Shard& shard) {
    const auto found = self.shards.find(ownership::from_wire(shard));
    const bool is_led = found != self.shards.end() && is_leading(self, found->second);
    return is_led ? &found->second : nullptr;
}

state_receiver& receiver_of(leadership& leader, const instance_id& router,
                            const std::string& address, steady_time now) {
    auto& receiver = leader.receivers[router];
    receiver.address = address;
    receiver.last_received = now;
    return receiver;
}

void record_receiver_drained(leadership& leader, const instance_id& router,
                             const version& drained) {
    if (drained >= leader.progress.state_version) {
        record_drained(leader.progress, router);
    }
}

void send_state(control_state& self, const shard_entry& entry, state_receiver& receiver,
                steady_time now) {
    receiver.last_sent = now;
    receiver.last_sent_version = entry.state->at;
    receiver.last_sent_activated = entry.activated;
    wire::Envelope message;
    auto& update = *message.mutable_state_update();
    ownership::to_wire(*entry.state, *update.mutable_state());
    ownership::to_wire(entry.activated, *update.mutable_in_force());
    send(self, receiver.address, std::move(message));
}

void send_activate(control_state& self, const shard_entry& entry, state_receiver& receiver) {
    receiver.last_sent_activated = entry.activated;
    wire::Envelope message;
    ownership::to_wire(entry.id, *message.mutable_activate()->mutable_shard());
    ownership::to_wire(entry.activated, *message.mutable_activate()->mutable_in_force());
    send(self, receiver.address, std::move(message));
}

bool has_accepted(const leadership& leader, const instance_id& process) {
    const auto& accepted = leader.progress.accepted;
    return std::find(accepted.begin(), accepted.end(), process) != accepted.end();
}

/// Sends the held state to the voters and routers that do not have it, again after each
/// `resend_interval` until they do.
void send_state_to_receivers(control_state& self, shard_entry& entry, steady_time now) {
    auto& leader = *entry.leader;
    const auto& intervals = self.settings.intervals;
    for (const auto& voter : entry.state->voters) {
        if (voter.id != self.settings.self && !leader.receivers.contains(voter.id)) {
            auto& receiver = leader.receivers[voter.id];
            receiver.address = voter.address;
            receiver.last_received = now;
        }
    }
    std::erase_if(leader.receivers, [&](const auto& receiver) {
        return now - receiver.second.last_received > intervals.receiver_timeout;
    });
    for (auto& [id, receiver] : leader.receivers) {
        const bool listed = has_voter(*entry.state, id);
        const bool has_state =
            receiver.held >= entry.state->at && (!listed || has_accepted(leader, id));
        const bool due = receiver.last_sent_version != entry.state->at ||
                         now - receiver.last_sent >= intervals.resend_interval;
        if (id == self.settings.self) {
            continue;
        }
        if (!has_state && due) {
            send_state(self, entry, receiver, now);
        } else if (receiver.last_sent_activated < entry.activated) {
            send_activate(self, entry, receiver);
        }
    }
}

/// Counts a dead voter as one that accepted. The routers that hold its confirmations are not
/// known, so the voter itself is entered as a lagging router until the confirmations have ended.
void count_replaced_voter(leadership& leader, const instance_id& voter,
                          steady_time confirmations_end) {
    const lagging_router lagging{voter, "", confirmations_end};
    record_accepted(leader.progress, voter, {&lagging, 1});
}

void record_if_in_force(control_state& self, shard_entry& entry, steady_time now) {
    auto& leader = *entry.leader;
    if (leader.in_force_since ||
        !is_in_force(leader.progress, *entry.state, has_store_lease(entry, now_of(self)), now)) {
        return;
    }
    leader.in_force_since = now;
    record_event(self, "in-force", to_string(entry.state->at),
                 "a quorum has accepted it and no router can act on an older version", &entry);
    if (leader.claims.started_unix_ms == 0) {
        leader.claims = start_idempotency_table(self.ports.unix_ms());
    }
}

}  // namespace

bool is_leading(const control_state& self, const shard_entry& entry) {
    return entry.leader && entry.state && entry.state->leader == self.settings.self;
}

bool can_act(const control_state& self, const shard_entry& entry, steady_time now) {
    if (!is_leading(self, entry) || !entry.leader->in_force_since) {
        return false;
    }
#ifdef MV_WITHOUT_LEASE_CHECK
    (void)now;
    return true;
#else
    return now < entry.lease->until();
#endif
}

bool can_write_state(const control_state& self, const shard_entry& entry, steady_time now) {
    return is_leading(self, entry) && entry.leader->in_force_since && entry.leader->claimed &&
           has_store_lease(entry, now);
}

void record_replaced_voter(control_state& self, shard_entry& entry, const instance_id& answered,
                           steady_time sent, steady_time now) {
    if (!is_leading(self, entry) || sent < entry.adopted_at) {
        return;
    }
    auto& leader = *entry.leader;
    for (const auto& voter : entry.state->voters) {
        if (voter.id.host != answered.host || voter.id == answered) {
            continue;
        }
        const auto& intervals = self.settings.intervals;
        const auto end = now + lengthened(intervals.lease_window, intervals);
        const auto known = leader.replaced_voters.try_emplace(voter.id, end).first;
        count_replaced_voter(leader, voter.id, known->second);
    }
}

void on_adopted_as_leader(control_state& self, shard_entry& entry, steady_time now) {
    if (!entry.leader) {
        return;
    }
    auto& leader = *entry.leader;
    leader.in_force_since.reset();
    if (entry.state->leader != self.settings.self) {
        leader.claimed = false;
        leader.handovers.clear();
        leader.receivers.clear();
        leader.replaced_voters.clear();
        leader.claims = {};
        leader.losses = {};
        leader.reported_targets.clear();
        return;
    }
    const bool new_epoch = leader.progress.state_version.epoch != entry.state->at.epoch;
    leader.progress = start_progress(entry.state->at);
    std::erase_if(leader.replaced_voters,
                  [&](const auto& item) { return !has_voter(*entry.state, item.first); });
    for (const auto& [voter, end] : leader.replaced_voters) {
        count_replaced_voter(leader, voter, end);
    }
    if (new_epoch) {
        leader.claims = {};
        leader.handovers.clear();
        leader.leading_since = now;
    }
    update_handovers(entry, new_epoch);
    send_state_to_receivers(self, entry, now);
}

void on_renewal_as_leader(control_state& self, shard_entry& entry, const wire::Envelope& message,
                          const wire::ShardRenewal& renewal, steady_time now) {
    if (!is_leading(self, entry)) {
        return;
    }
    auto& leader = *entry.leader;
    const auto router = ownership::from_wire(message.sender());
    auto& receiver = receiver_of(leader, router, message.sender_address(), now);
    receiver.held = std::max(receiver.held, ownership::from_wire(renewal.held()));
    receiver.drained = std::max(receiver.drained, ownership::from_wire(renewal.drained()));
    record_receiver_drained(leader, router, receiver.drained);
    receive_evidence(self, leader, message, renewal, now);
    advance_leader(self, entry, now);
}

void handle_state_accepted(control_state& self, const wire::Envelope& message, steady_time now) {
    const auto& accepted = message.state_accepted();
    auto* entry = find_led_shard(self, accepted.shard());
    if (entry == nullptr || ownership::from_wire(accepted.accepted()) != entry->state->at) {
        return;
    }
    auto& leader = *entry->leader;
    const auto& intervals = self.settings.intervals;
    std::vector<lagging_router> lagging;
    for (const auto& outstanding : accepted.outstanding()) {
        const auto router = ownership::from_wire(outstanding.router());
        const auto remaining = lengthened(milliseconds(outstanding.remaining_ms()), intervals);
        lagging.push_back({router, outstanding.address(), now + remaining});
        if (!leader.receivers.contains(router)) {
            receiver_of(leader, router, outstanding.address(), now);
        }
    }
    const auto voter = ownership::from_wire(message.sender());
    record_accepted(leader.progress, voter, lagging);
    if (const auto known = leader.receivers.find(voter); known != leader.receivers.end()) {
        known->second.held = std::max(known->second.held, entry->state->at);
        known->second.last_received = now;
    }
    advance_leader(self, *entry, now);
}

void handle_state_drained(control_state& self, const wire::Envelope& message, steady_time now) {
    const auto& from = message.state_drained();
    auto* entry = find_led_shard(self, from.shard());
    if (entry == nullptr) {
        return;
    }
    const auto router = ownership::from_wire(message.sender());
    const auto drained = ownership::from_wire(from.drained());
    auto& receiver = receiver_of(*entry->leader, router, message.sender_address(), now);
    receiver.held = std::max(receiver.held, drained);
    receiver.drained = std::max(receiver.drained, drained);
    record_receiver_drained(*entry->leader, router, drained);
    advance_leader(self, *entry, now);
}

void advance_leader(control_state& self, shard_entry& entry, steady_time now) {
    if (!is_leading(self, entry)) {
        return;
    }
    record_if_in_force(self, entry, now);
    advance_handovers(self, entry, now);
    send_state_to_receivers(self, entry, now);
    if (now >= entry.leader->next_plan) {
        entry.leader->next_plan = now + self.settings.intervals.plan_interval;
        plan_and_write(self, entry, now);
    }
}

void tick_leader(control_state& self, steady_time now) {
    for (auto& [id, entry] : self.shards) {
        if (!entry.leader) {
            continue;
        }
        tick_store_lease(self, entry, now);
        tick_shard_write(self, entry, now);
        advance_leader(self, entry, now);
    }
}

}  // namespace mimosavalve::control::detail
