#include "sync_client.hpp"

#include "control_timing.hpp"
#include "peer_paths.hpp"

namespace mimosavalve::gateway {

namespace detail {

// Age of the leader's state from which a router reads the owners of keys itself.
constexpr milliseconds max_state_age{900};
constexpr milliseconds sync_retry_delay{150};
// Consecutive failed calls after which `leader_silent` is logged; single calls are lost
// occasionally.
constexpr std::uint32_t failures_to_log = 2;

}  // namespace detail

void collect_reports(router_core& core, sync_request& out) {
    out.key_loads = std::exchange(core.key_loads, {});
    out.demand = std::exchange(core.demand, {});
    out.crashes = std::exchange(core.crashes, {});
    keep_losses(core.reported_losses, out.crashes, core.now());
    out.limits = reports_of(core.state.notices, core.now());
    out.misdirected = take_misdirected_reports(core.state.beliefs);
    out.moved = take_moved_reports(core.state.beliefs);
    out.leaving = unregistered_leavers(core.state);
    for (auto& [id, target] : core.state.targets) {
        if (std::exchange(target->answered, false)) {
            out.work[id] = {std::exchange(target->work_samples, 0),
                            std::exchange(target->work_sum_ms, 0)};
        }
    }
}

void record_leavers(router_core& core, const std::map<std::string, std::uint64_t>& leavers,
                    std::string_view from) {
    for (const auto& id : add_leavers(core.state, leavers)) {
        core.log.write("target_leaves", {{"target", id}, {"from", from}});
    }
}

void apply_limit_shares(routing_state& state, const std::map<std::string, double>& shares,
                        boot_time sent_at) {
    for (const auto& [id, share] : shares) {
        const auto target = state.targets.find(id);
        if (target != state.targets.end() && share >= 0) {
            notice_of(state, *target->second);
        }
    }
    apply_shares(state.notices, shares, sent_at);
}

sync_client::sync_client(router_core& core, fleet_state& fleet, call_client& calls,
                         callbacks handlers)
    : core_(core), fleet_(fleet), calls_(calls), handlers_(std::move(handlers)) {}

void sync_client::tick(boot_time now) {
    if (!call_in_flight_ && now >= next_call_) {
        call_leader();
    }
}

bool sync_client::is_up_to_date(boot_time now) const {
    return now - known_at_ < detail::max_state_age;
}

sync_request sync_client::make_request() {
    const auto now = core_.now();
    sync_request out;
    out.host = core_.settings.host;
    out.address = core_.settings.peer_address;
    out.failure_domain = core_.settings.failure_domain;
    out.instance = fleet_.instance;
    out.epoch = fleet_.leader.epoch;
    out.store_lost = !fleet_.store_responsive;
    const bool same_leader = followed_epoch_ == fleet_.leader.epoch;
    out.long_holds_received = long_holds_announced_ && same_leader;
    // Set before the send: the call may arrive although it fails.
    if (out.long_holds_received) {
        fleet_.long_holds_reported_at = now;
    }
    if (fleet_.long_holds_reported_at) {
        out.long_holds_age_ms =
            static_cast<std::uint64_t>(-milliseconds_until(*fleet_.long_holds_reported_at, now));
    }
    out.config_version = core_.state.config.version;
    out.forward_address = core_.settings.forward_address;
    out.capacity = core_.settings.capacity;
    out.lag_ms = static_cast<std::uint64_t>(
        std::exchange(core_.loop.lag_to_report, milliseconds(0)).count());
    if (same_leader) {
        out.reply_number = followed_reply_;
        out.registry_number = followed_registry_;
        out.map_numbers = followed_maps_;
    }
    collect_reports(core_, out);
    if (!same_leader) {
        out.crashes.losses = core_.reported_losses;
    }
    return out;
}

void sync_client::call_leader() {
    const auto to = parse_endpoint(fleet_.leader.address);
    if (fleet_.leader.epoch == 0 || !to || fleet_.leader.host == core_.settings.host ||
        fleet_.stopping || fleet_.leading) {
        next_call_ = core_.now() + detail::sync_retry_delay;
        return;
    }
    call_in_flight_ = true;
    auto body = encode(make_request());
    count(core_.metrics, "sync_bytes_sent", body.size());
    calls_.send(*to, {"POST", peer_paths::sync, peer_paths::body_type, std::move(body), {}, {}},
                detail::deadline_in(detail::sync_call_time),
                life_.guard([this, epoch = fleet_.leader.epoch, sent_at = core_.now()](
                                std::error_code error, const call_answer& answer) {
                    call_in_flight_ = false;
                    on_answer(epoch, sent_at, error, answer);
                }));
}

void sync_client::on_answer(std::uint64_t epoch, boot_time sent_at, std::error_code error,
                            const call_answer& answer) {
    constexpr unsigned ok = 200;
    count(core_.metrics, "sync_bytes_received", answer.body.size());
    const auto reply =
        !error && answer.head.status == ok ? decode_sync_reply(answer.body) : std::nullopt;
    if (!reply && !error && answer.head.status == ok) {
        record_unreadable_message(core_, "sync reply", answer.body);
    }
    if (!reply || reply->epoch != epoch) {
        ++failures_;
        if (failures_ == detail::failures_to_log) {
            core_.log.write_always("leader_silent", {{"host", fleet_.leader.host}});
        }
        next_call_ = core_.now() + detail::sync_retry_delay;
        return;
    }
    if (failures_ >= detail::failures_to_log) {
        core_.log.write_always("leader_heard", {{"host", fleet_.leader.host}});
    }
    failures_ = 0;
    if (!fleet_.leading) {
        apply(*reply, sent_at);
    }
    // The leader delays its reply until state has changed, or for a maximum time.
    next_call_ = {};
    call_leader();
}

void sync_client::apply(const sync_reply& reply, boot_time sent_at) {
    // The reply may have been long in transit, so its age is counted from the call: the leader sent
    // it no earlier than `held_ms` after that.
    known_at_ = std::max(known_at_,
                         sent_at + milliseconds(reply.held_ms) - milliseconds(reply.store_age_ms));
    apply_limit_shares(core_.state, reply.limit_shares, sent_at);
    record_leavers(core_, reply.leaving, fleet_.leader.host);
    heard_at_ = std::max(heard_at_, sent_at + milliseconds(reply.held_ms));
    core_.state.registry_known_at = std::max(core_.state.registry_known_at, known_at_);
    followed_epoch_ = reply.epoch;
    followed_reply_ = reply.number;
    followed_registry_ = reply.registry_number;
    followed_maps_ = reply.map_numbers;
    long_holds_announced_ = reply.long_holds;
    handlers_.replied(reply);
}

}  // namespace mimosavalve::gateway
