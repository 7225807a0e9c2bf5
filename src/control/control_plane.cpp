#include "mimosavalve/control/control_plane.hpp"

#include <algorithm>

#include "control/claims.hpp"
#include "control/control_plane_dispatch.hpp"
#include "control/control_state.hpp"
#include "control/evidence.hpp"
#include "control/fleet_watch.hpp"
#include "control/leader_role.hpp"
#include "control/router_role.hpp"
#include "control/voter_role.hpp"

namespace mimosavalve::control {

namespace detail {

namespace {

/// Updates `resigning_since`: a daemon that stops, or whose failure domain is removed, gives up its
/// leaderships.
void update_resigning(control_state& self, steady_time now) {
    const bool removed =
        self.config &&
        std::find(self.config->removed_domains.begin(), self.config->removed_domains.end(),
                  self.settings.failure_domain) != self.config->removed_domains.end();
    if (!self.stopping && !removed) {
        self.resigning_since.reset();
    } else if (!self.resigning_since) {
        self.resigning_since = now;
    }
}

}  // namespace

void dispatch(control_state& self, const wire::Envelope& message, steady_time now) {
    switch (message.body_case()) {
        case wire::Envelope::kRenewRequest:
            handle_renew_request(self, message, now);
            break;
        case wire::Envelope::kRenewReply:
            handle_renew_reply(self, message, now);
            break;
        case wire::Envelope::kStateUpdate:
            handle_state_update(self, message, now);
            break;
        case wire::Envelope::kStateAccepted:
            handle_state_accepted(self, message, now);
            break;
        case wire::Envelope::kStateDrained:
            handle_state_drained(self, message, now);
            break;
        case wire::Envelope::kStateFetch:
            handle_state_fetch(self, message, now);
            break;
        case wire::Envelope::kActivate:
            handle_activate(self, message);
            break;
        case wire::Envelope::kClaimRequest:
            handle_claim_request(self, message);
            break;
        case wire::Envelope::kClaimReply:
            handle_claim_reply(self, message);
            break;
        case wire::Envelope::kConfigFetch:
            handle_config_fetch(self, message);
            break;
        case wire::Envelope::kConfigUpdate:
            handle_config_update(self, message);
            break;
        default:
            // Queries for event records are handled by the daemon, not by this class.
            break;
    }
}

}  // namespace detail

control_plane::control_plane(control_settings settings, control_ports ports,
                             control_outputs outputs, config_decoder decode_config)
    : state_(std::make_unique<detail::control_state>()) {
    state_->random.seed(settings.seed);
    // A late reply to the previous instance on this host must not match a request of this one.
    state_->next_request_number = state_->random() >> 1U;
    state_->settings = std::move(settings);
    state_->ports = std::move(ports);
    state_->outputs = std::move(outputs);
    state_->decode_config = std::move(decode_config);
}

control_plane::~control_plane() = default;

void control_plane::on_message(const wire::Envelope& message, steady_time now) {
    // Confirmations are counted from the time of the answer; a time that was read before the
    // message arrived would end them early.
    detail::dispatch(*state_, message, std::max(now, detail::now_of(*state_)));
    detail::finish_input(*state_);
}

void control_plane::on_tick(steady_time now) {
    auto& self = *state_;
    detail::update_resigning(self, now);
    detail::tick_fleet_watch(self, now);
    detail::tick_voter(self, now);
    detail::tick_router(self, now);
    detail::tick_leader(self, now);
    detail::tick_probes(self, now);
    detail::tick_claims(self, now);
    detail::finish_input(self);
}

void control_plane::on_traffic_report(const traffic_report& report, steady_time /*now*/) {
    detail::record_traffic(*state_, report);
}

void control_plane::add_quarantined(std::span<const std::uint64_t> fingerprints, steady_time now) {
    for (const auto fingerprint : fingerprints) {
        state_->quarantined[fingerprint] = now + state_->settings.intervals.quarantine_duration;
    }
    state_->snapshot_changed = true;
    detail::finish_input(*state_);
}

void control_plane::claim(const shard_id& shard, std::string_view key,
                          std::uint64_t first_attempt_unix_ms, steady_time deadline,
                          std::function<void(claim_status)> handler) {
    detail::start_claim(*state_, shard, key, first_attempt_unix_ms, deadline, std::move(handler));
}

void control_plane::start_shutdown(steady_time now) {
    state_->stopping = true;
    detail::update_resigning(*state_, now);
}

bool control_plane::can_exit(steady_time now) const {
    const auto& self = *state_;
    return self.stopping &&
           std::all_of(self.shards.begin(), self.shards.end(), [&](const auto& item) {
               const auto& entry = item.second;
               const bool leads = entry.leader && entry.leader->lease.id != 0;
               const bool votes = entry.voter.listed;
               const bool has_confirmed =
                   std::any_of(entry.voter.granted.begin(), entry.voter.granted.end(),
                               [&](const auto& given) { return given.until > now; });
               return !leads && !votes && !has_confirmed;
           });
}

std::shared_ptr<const router::routing_snapshot> control_plane::snapshot() const {
    return state_->snapshot;
}

bool control_plane::is_acting_leader(const shard_id& shard, steady_time now) const {
    const auto found = state_->shards.find(shard);
    return found != state_->shards.end() && detail::can_act(*state_, found->second, now);
}

std::vector<router_status> control_plane::routers() const {
    std::vector<router_status> result;
    for (const auto& [id, peer] : state_->routers) {
        result.push_back({id, peer.address, peer.region, peer.last_received, peer.config_version});
    }
    return result;
}

}  // namespace mimosavalve::control
