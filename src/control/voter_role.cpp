#include "control/voter_role.hpp"

#include <algorithm>

#include "control/leader_role.hpp"
#include "control/store_lease.hpp"
#include "ownership/shard_state_codec.hpp"

namespace mimosavalve::control::detail {

namespace {

void send_state(control_state& self, const shard_entry& entry, const std::string& address) {
    wire::Envelope message;
    auto& update = *message.mutable_state_update();
    ownership::to_wire(*entry.state, *update.mutable_state());
    ownership::to_wire(entry.activated, *update.mutable_in_force());
    send(self, address, std::move(message));
}

/// Sends the state to a router that is behind, at most once per `resend_interval`. All voters do so
/// independently of each other.
void send_state_if_due(control_state& self, shard_entry& entry, const instance_id& router,
                       const std::string& address, steady_time now) {
    auto& sent = entry.last_update_sent[router];
    if (now - sent >= self.settings.intervals.resend_interval) {
        sent = now;
        send_state(self, entry, address);
    }
}

void fetch_from(control_state& self, const shard_entry& entry, const std::string& address) {
    wire::Envelope message;
    ownership::to_wire(entry.id, *message.mutable_state_fetch()->mutable_shard());
    ownership::to_wire(entry.voter.accepted, *message.mutable_state_fetch()->mutable_held());
    send(self, address, std::move(message));
}

wire::ShardConfirmation::Status to_wire_status(renewal_status status) {
    switch (status) {
        case renewal_status::confirmed:
            return wire::ShardConfirmation::CONFIRMED;
        case renewal_status::router_behind:
            return wire::ShardConfirmation::ROUTER_BEHIND;
        case renewal_status::voter_behind:
            return wire::ShardConfirmation::VOTER_BEHIND;
        case renewal_status::not_voter:
            break;
    }
    return wire::ShardConfirmation::NOT_VOTER;
}

void answer_renewal(control_state& self, shard_entry& entry, const renewal& from,
                    wire::ShardConfirmation& out, steady_time now) {
    const auto status = renew(entry.voter, from, now, self.settings.intervals);
    ownership::to_wire(entry.id, *out.mutable_shard());
    out.set_status(to_wire_status(status));
    ownership::to_wire(entry.voter.accepted, *out.mutable_accepted());
    ownership::to_wire(entry.activated, *out.mutable_in_force());
    const auto vote_until = store_vote_until(self, entry);
    if (status != renewal_status::voter_behind && vote_until > now) {
        out.set_store_vote_remaining_ms(static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(vote_until - now).count()));
    }
    if (status == renewal_status::router_behind) {
        send_state_if_due(self, entry, from.router, from.address, now);
    } else if (status == renewal_status::voter_behind) {
        fetch_from(self, entry, from.address);
    }
}

void record_router(control_state& self, const wire::Envelope& message, steady_time now) {
    const auto& request = message.renew_request();
    const auto id = ownership::from_wire(message.sender());
    const bool known = self.routers.contains(id);
    auto& peer = self.routers[id];
    peer.address = message.sender_address();
    peer.region = request.region();
    peer.failure_domain = request.failure_domain();
    peer.last_received = now;
    peer.config_version = request.config_version();
    peer.stopping = request.stopping();
    self.snapshot_changed = self.snapshot_changed || !known;
}

}  // namespace

void accept_as_voter(control_state& self, shard_entry& entry, steady_time now) {
    const bool listed = has_voter(*entry.state, self.settings.self);
    accept_version(entry.voter, entry.state->at, listed);
    report_accepted(self, entry, now);
}

void report_accepted(control_state& self, shard_entry& entry, steady_time now) {
    if (!entry.voter.listed || !entry.state) {
        return;
    }
    wire::Envelope message;
    auto& accepted = *message.mutable_state_accepted();
    ownership::to_wire(entry.id, *accepted.mutable_shard());
    ownership::to_wire(entry.voter.accepted, *accepted.mutable_accepted());
    for (const auto& granted : outstanding_confirmations(entry.voter, entry.voter.accepted, now)) {
        auto& out = *accepted.add_outstanding();
        ownership::to_wire(granted.router, *out.mutable_router());
        ownership::to_wire(granted.held, *out.mutable_held());
        out.set_address(granted.address);
        // Rounds up, so that the confirmation does not seem to end early.
        const auto remaining = std::chrono::ceil<milliseconds>(granted.until - now);
        out.set_remaining_ms(static_cast<std::uint64_t>(remaining.count()));
    }
    send(self, entry.state->leader_address, std::move(message));
}

void handle_renew_request(control_state& self, const wire::Envelope& message, steady_time now) {
    const auto& request = message.renew_request();
    record_router(self, message, now);
    merge_quarantine(self, request.quarantined(), now);
    wire::Envelope answer;
    auto& reply = *answer.mutable_renew_reply();
    reply.set_number(request.number());
    reply.set_live_routers(static_cast<std::uint32_t>(self.routers.size()));
    add_quarantine(self, *reply.mutable_quarantined(), now);
    renewal from;
    from.router = ownership::from_wire(message.sender());
    from.address = message.sender_address();
    for (const auto& shard : request.shards()) {
        const auto found = self.shards.find(ownership::from_wire(shard.shard()));
        if (found == self.shards.end()) {
            continue;
        }
        from.held = ownership::from_wire(shard.held());
        answer_renewal(self, found->second, from, *reply.add_shards(), now);
        on_renewal_as_leader(self, found->second, message, shard, now);
    }
    send(self, message.sender_address(), std::move(answer));
}

void handle_state_fetch(control_state& self, const wire::Envelope& message, steady_time now) {
    const auto& fetch = message.state_fetch();
    const auto found = self.shards.find(ownership::from_wire(fetch.shard()));
    if (found == self.shards.end() || !found->second.state) {
        return;
    }
    if (found->second.state->at > ownership::from_wire(fetch.held())) {
        send_state_if_due(self, found->second, ownership::from_wire(message.sender()),
                          message.sender_address(), now);
    }
}

void tick_voter(control_state& self, steady_time now) {
    const auto& intervals = self.settings.intervals;
    for (auto& [id, entry] : self.shards) {
        discard_expired(entry.voter, now);
        std::erase_if(entry.last_update_sent, [&](const auto& sent) {
            return now - sent.second > intervals.receiver_timeout;
        });
    }
    const auto gone = std::erase_if(self.routers, [&](const auto& peer) {
        return now - peer.second.last_received > intervals.peer_timeout;
    });
    self.snapshot_changed = self.snapshot_changed || gone > 0;
}

void merge_quarantine(control_state& self, const quarantine_list& from, steady_time now) {
    for (const auto& entry : from) {
        // Messages carry the remaining time, so that routers do not extend it for each other.
        const auto until = now + milliseconds(entry.remaining_ms());
        const auto added = self.quarantined.try_emplace(entry.fingerprint(), until).second;
        self.snapshot_changed = self.snapshot_changed || added;
    }
}

void add_quarantine(const control_state& self, quarantine_list& out, steady_time now) {
    for (const auto& [fingerprint, until] : self.quarantined) {
        if (until <= now) {
            continue;
        }
        auto& entry = *out.Add();
        entry.set_fingerprint(fingerprint);
        const auto remaining = std::chrono::duration_cast<milliseconds>(until - now);
        entry.set_remaining_ms(static_cast<std::uint64_t>(remaining.count()));
    }
}

}  // namespace mimosavalve::control::detail
