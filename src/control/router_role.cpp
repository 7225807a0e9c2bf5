#include "control/router_role.hpp"

#include <algorithm>

#include "control/evidence.hpp"
#include "control/leader_role.hpp"
#include "control/voter_role.hpp"
#include "ownership/shard_state_codec.hpp"

namespace mimosavalve::control::detail {

namespace {

constexpr std::size_t max_sent_renewals = 256;

/// Starts the serving lease of a new version, with the confirmations of the previous version when
/// they carry over. Each version has its own deadline object, so that a thread that still uses an
/// older snapshot does not see the lease of a newer version.
void start_serving_lease(shard_entry& entry, const ownership::shard_state& state) {
    const bool carries_over = entry.state && confirmations_carry_over(*entry.state, state);
    if (!carries_over) {
        entry.confirmations.clear();
    }
    const auto until = lease_end(entry.confirmations, state);
    entry.lease = std::make_shared<router::lease_deadline>();
    entry.lease->extend_to(until);
}

void add_load(control_state& self, wire::ShardRenewal& out, const shard_entry& entry) {
    for (const auto& load : self.slot_load) {
        const auto* assignment = ownership::find_assignment(*entry.state, load.service, load.slot);
        if (assignment == nullptr) {
            continue;
        }
        auto& slot = *out.add_slot_load();
        slot.set_service(load.service);
        slot.set_slot(load.slot);
        slot.set_requests(load.requests);
    }
}

void add_shard(control_state& self, const shard_entry& entry, bool to_leader,
               wire::RenewRequest& request, steady_time now) {
    auto& out = *request.add_shards();
    ownership::to_wire(entry.id, *out.mutable_shard());
    ownership::to_wire(entry.state->at, *out.mutable_held());
    ownership::to_wire(entry.drained, *out.mutable_drained());
    if (to_leader && entry.id.region == self.settings.region) {
        add_evidence(self, out, now);
        add_load(self, out, entry);
    }
}

void send_renewals(control_state& self, steady_time now) {
    std::map<std::string, wire::Envelope> by_address;
    for (auto& [id, entry] : self.shards) {
        if (!entry.state) {
            continue;
        }
        const auto& state = *entry.state;
        for (const auto& voter : state.voters) {
            auto& request = *by_address[voter.address].mutable_renew_request();
            add_shard(self, entry, voter.id == state.leader, request, now);
        }
        if (!has_voter(state, state.leader)) {
            add_shard(self, entry, true, *by_address[state.leader_address].mutable_renew_request(),
                      now);
        }
    }
    for (auto& [address, envelope] : by_address) {
        auto& request = *envelope.mutable_renew_request();
        request.set_number(self.next_request_number++);
        request.set_address(self.settings.address);
        request.set_failure_domain(self.settings.failure_domain);
        request.set_region(self.settings.region);
        request.set_config_version(self.config ? self.config->version : 0);
        request.set_stopping(self.stopping);
        add_quarantine(self, *request.mutable_quarantined(), now);
        self.sent_renewals.push_back({request.number(), now});
        if (self.sent_renewals.size() > max_sent_renewals) {
            self.sent_renewals.pop_front();
        }
        send(self, address, std::move(envelope));
    }
    reset_reported_evidence(self);
    self.slot_load.clear();
}

/// Returns the addresses of routers that may hold a state: those that have recently renewed with
/// this daemon and, as a hint only, those of the host list.
std::vector<std::string> peer_addresses(const control_state& self) {
    std::vector<std::string> result;
    for (const auto& [id, peer] : self.routers) {
        result.push_back(peer.address);
    }
    for (const auto& host : self.listed_hosts) {
        if (host.role == "router") {
            result.push_back(host.address);
        }
    }
    std::sort(result.begin(), result.end());
    result.erase(std::unique(result.begin(), result.end()), result.end());
    std::erase(result, self.settings.address);
    return result;
}

void fetch_missing(control_state& self, steady_time now) {
    constexpr std::size_t max_asked_peers = 2;
    auto peers = peer_addresses(self);
    std::shuffle(peers.begin(), peers.end(), self.random);
    peers.resize(std::min(peers.size(), max_asked_peers));
    for (auto& [id, entry] : self.shards) {
        // A state whose serving lease has long ended may be outdated, with all of its voters gone.
        const bool is_outdated =
            entry.state && entry.lease->until() + self.settings.intervals.lease_window < now;
        if ((entry.state && !is_outdated) || now < entry.next_fetch) {
            continue;
        }
        entry.next_fetch = now + 2 * self.settings.intervals.heartbeat_interval;
        wire::Envelope message;
        ownership::to_wire(id, *message.mutable_state_fetch()->mutable_shard());
        if (entry.state) {
            ownership::to_wire(entry.state->at, *message.mutable_state_fetch()->mutable_held());
        }
        for (const auto& address : peers) {
            send(self, address, message);
        }
    }
    if (!self.config && now >= self.next_config_fetch) {
        self.next_config_fetch = now + 2 * self.settings.intervals.heartbeat_interval;
        wire::Envelope message;
        message.mutable_config_fetch()->set_held(0);
        for (const auto& address : peers) {
            send(self, address, message);
        }
    }
}

void report_drained(control_state& self, shard_entry& entry, steady_time now) {
    const auto held = entry.state->at;
    const auto drained = self.outputs.drained ? self.outputs.drained(entry.id) : held;
    const bool has_advanced = drained > entry.drained;
    entry.drained = std::max(entry.drained, std::min(drained, held));
    if (!has_advanced && now < entry.next_drained_report) {
        return;
    }
    entry.next_drained_report = now + self.settings.intervals.heartbeat_interval;
    if (entry.drained == held && has_advanced) {
        wire::Envelope message;
        ownership::to_wire(entry.id, *message.mutable_state_drained()->mutable_shard());
        ownership::to_wire(held, *message.mutable_state_drained()->mutable_drained());
        send(self, entry.state->leader_address, std::move(message));
    }
}

/// Records a confirmation by a voter, and extends the serving lease.
void record_confirmation(control_state& self, shard_entry& entry, const instance_id& voter,
                         steady_time sent, const wire::ShardConfirmation& from) {
    const auto& intervals = self.settings.intervals;
    confirmation added;
    added.voter = voter;
    added.until = sent + intervals.lease_window;
    if (voter == entry.state->leader) {
        const auto remaining = milliseconds(from.store_vote_remaining_ms());
        added.store_vote_until = sent + shortened(remaining, intervals);
    }
    add_confirmation(entry.confirmations, added);
    const auto until = lease_end(entry.confirmations, *entry.state);
    if (until > entry.lease->until()) {
        entry.lease->extend_to(until);
    }
}

}  // namespace

bool adopt_state(control_state& self, shard_entry& entry,
                 std::shared_ptr<const ownership::shard_state> state, steady_time now) {
    if (entry.state && state->at <= entry.state->at) {
        return false;
    }
    start_serving_lease(entry, *state);
    entry.state = std::move(state);
    entry.adopted_at = now;
    entry.next_drained_report = now;
    accept_as_voter(self, entry, now);
    on_adopted_as_leader(self, entry, now);
    self.snapshot_changed = true;
    return true;
}

void record_activated(control_state& self, shard_entry& entry, const version& activated) {
    // The activation of a version newer than the held one does not apply to the held assignments,
    // which that version may have replaced.
    if (entry.state && activated > entry.activated && activated <= entry.state->at) {
        entry.activated = activated;
        self.snapshot_changed = true;
    }
}

void publish_if_changed(control_state& self) {
    if (!self.snapshot_changed || !self.config) {
        return;
    }
    self.snapshot_changed = false;
    auto next = std::make_shared<router::routing_snapshot>();
    next->config = self.config;
    next->own_region = self.settings.region;
    // Only voters receive renewals from all routers; other routers use the count that a voter
    // reports.
    const auto live = self.routers.empty() ? self.reported_live_routers
                                           : static_cast<std::uint32_t>(self.routers.size());
    next->live_routers = std::max(1U, live);
    for (const auto& [fingerprint, until] : self.quarantined) {
        next->quarantined.push_back(fingerprint);
    }
    for (const auto& [id, entry] : self.shards) {
        if (entry.state) {
            next->shards.push_back({entry.state, entry.activated, entry.lease});
        }
    }
    self.snapshot = next;
    if (self.outputs.publish) {
        self.outputs.publish(self.snapshot);
    }
}

void handle_state_update(control_state& self, const wire::Envelope& message, steady_time now) {
    const auto& update = message.state_update();
    auto state = ownership::from_wire(update.state());
    if (!state) {
        return;
    }
    const auto found = self.shards.find(state->shard);
    if (found == self.shards.end()) {
        return;
    }
    auto& entry = found->second;
    const auto offered = state->at;
    adopt_state(self, entry, std::make_shared<const ownership::shard_state>(std::move(*state)),
                now);
    record_activated(self, entry, ownership::from_wire(update.in_force()));
    // The leader repeats an update until it receives the acceptance.
    if (offered == entry.state->at) {
        report_accepted(self, entry, now);
        report_drained(self, entry, now);
    }
}

void handle_renew_reply(control_state& self, const wire::Envelope& message, steady_time now) {
    const auto& reply = message.renew_reply();
    const auto voter = ownership::from_wire(message.sender());
    const auto sent =
        std::find_if(self.sent_renewals.begin(), self.sent_renewals.end(),
                     [&](const sent_renewal& entry) { return entry.number == reply.number(); });
    merge_quarantine(self, reply.quarantined(), now);
    if (sent == self.sent_renewals.end()) {
        return;
    }
    if (self.routers.empty() && reply.live_routers() != self.reported_live_routers) {
        self.reported_live_routers = reply.live_routers();
        self.snapshot_changed = true;
    }
    for (const auto& from : reply.shards()) {
        const auto found = self.shards.find(ownership::from_wire(from.shard()));
        if (found == self.shards.end() || !found->second.state) {
            continue;
        }
        auto& entry = found->second;
        record_activated(self, entry, ownership::from_wire(from.in_force()));
        record_replaced_voter(self, entry, voter, sent->sent_at, now);
        const bool is_same_version = ownership::from_wire(from.accepted()) == entry.state->at;
        if (is_same_version && from.status() == wire::ShardConfirmation::CONFIRMED) {
            record_confirmation(self, entry, voter, sent->sent_at, from);
        }
    }
}

void handle_activate(control_state& self, const wire::Envelope& message) {
    const auto found = self.shards.find(ownership::from_wire(message.activate().shard()));
    if (found != self.shards.end()) {
        record_activated(self, found->second, ownership::from_wire(message.activate().in_force()));
    }
}

void tick_router(control_state& self, steady_time now) {
    const auto before = self.quarantined.size();
    std::erase_if(self.quarantined, [&](const auto& entry) { return entry.second <= now; });
    self.snapshot_changed = self.snapshot_changed || before != self.quarantined.size();
    for (auto& [id, entry] : self.shards) {
        if (entry.state) {
            report_drained(self, entry, now);
        }
    }
    fetch_missing(self, now);
    if (now >= self.next_heartbeat) {
        self.next_heartbeat = now + self.settings.intervals.heartbeat_interval;
        send_renewals(self, now);
    }
}

}  // namespace mimosavalve::control::detail
