#include "leader_right.hpp"

#include "control_timing.hpp"
#include "key_decider.hpp"
#include "mimosavalve/core/error.hpp"
#include "peer_paths.hpp"

namespace mimosavalve::gateway {

namespace detail {

// The record of runs follows the fleet within about this time.
constexpr milliseconds record_time{1500};
// Pause between notices of a new leader to the routers that do not follow it yet, and the time that
// one may take: a router that is cut off does not answer.
constexpr milliseconds notice_pause{500};

}  // namespace detail

leader_right::leader_right(router_core& core, fleet_state& fleet, call_client& calls,
                           evidence_source heard, runs_source followers)
    : core_(core),
      fleet_(fleet),
      calls_(calls),
      heard_(std::move(heard)),
      followers_(std::move(followers)) {}

void leader_right::begin() {
    term_.renew();
    recorded_.clear();
    pending_.reset();
    loaded_ = false;
    call_running_ = false;
    inherited_end_.reset();
    acts_ = true;
    confirmed_ = false;
    may_hold_long_ = false;
}

void leader_right::tick(boot_time now, boot_time lease_until) {
    if (!loaded_) {
        load();
    } else if (!inherited_end_) {
        take_over(now);
        notify(now);
    } else {
        record(now, lease_until);
    }
    renew(now, lease_until);
}

bool leader_right::wants_long_holds() const {
    return fleet_.leading && fleet_.stopping && confirmed_;
}

void leader_right::load() {
    if (call_running_) {
        return;
    }
    call_running_ = true;
    core_.platform.store.read(
        key(), detail::call_in(detail::store_call_time),
        term_.guard([this](std::error_code error, const store_item& item, std::uint64_t) {
            call_running_ = false;
            if (error && error != errc::not_found) {
                note_store(core_, fleet_, false, "read routers");
                return;  // `tick` asks again.
            }
            if (!error) {
                auto runs = decode_router_runs(item.value);
                if (!runs) {
                    core_.log.write_always("record_unreadable", {{"key", key()}});
                }
                recorded_ = std::move(runs).value_or(router_runs{});
            }
            loaded_ = true;
        }));
}

void leader_right::take_over(boot_time now) {
    const auto heard = heard_(now);
    if (!has_taken_over(recorded_, heard)) {
        return;
    }
    inherited_end_ =
        inherited_holds_end(key_decider::hold_bounds(core_.settings.bounds), heard, now);
    core_.log.write_always("leader_took_over",
                           {{"runs_recorded", static_cast<std::int64_t>(recorded_.size())},
                            {"inherited_holds_ms", milliseconds_until(*inherited_end_, now)}});
}

// A successor acts fully only when most routers follow it. Those that do not reach the store would
// stay with its predecessor until the store is back.
void leader_right::notify(boot_time now) {
    if (inherited_end_ || now < next_notice_) {
        return;
    }
    next_notice_ = now + detail::notice_pause;
    const auto body = encode(fleet_.leader);
    const auto heard = heard_(now);
    for (const auto& [host, known] : recorded_) {
        const auto to = parse_endpoint(known.address);
        if (!to || heard.contains(host)) {
            continue;
        }
        calls_.send(*to, {"POST", peer_paths::leader, peer_paths::body_type, body, {}, {}},
                    detail::call_in(detail::notice_pause),
                    term_.guard([this, host = host](std::error_code error, const call_answer&) {
                        // The next round tells it again.
                        core_.log.write("leader_notice",
                                        {{"host", host}, {"error", error ? error.message() : ""}});
                    }));
    }
}

void leader_right::record(boot_time now, boot_time lease_until) {
    if (call_running_ || now >= lease_until || now < next_record_) {
        return;
    }
    next_record_ = now + detail::record_time;
    auto current = followers_(now);
    current.emplace(core_.settings.host, router_run(fleet_.run, core_.settings.peer_address));
    if (current == recorded_ && !pending_) {
        return;
    }
    pending_ = current;
    call_running_ = true;
    store_batch batch;
    batch.conditions = {{core_.platform.keys.fleet + "leader", fleet_.leader.epoch}};
    batch.writes = {{key(), encode(current), 0}};
    core_.platform.store.write(
        batch, detail::call_in(detail::store_call_time),
        term_.guard([this](std::error_code error, std::uint64_t) {
            call_running_ = false;
            if (error) {
                // In doubt: both records count until the next write.
                core_.log.write("record_failed", {{"key", key()}, {"error", error.message()}});
                return;
            }
            recorded_ = std::move(*pending_);
            pending_.reset();
        }));
}

// Either record may be the one that a successor finds.
std::optional<boot_time> leader_right::right_by_routers(const evidence_by_host& heard) const {
    auto right = right_without_store(recorded_, heard);
    if (right && pending_) {
        const auto other = right_without_store(*pending_, heard);
        right = other ? std::optional(std::min(*right, *other)) : std::nullopt;
    }
    return right;
}

void leader_right::renew(boot_time now, boot_time lease_until) {
    const auto heard = heard_(now);
    const auto by_routers =
        fleet_.store_good ? std::optional<boot_time>() : right_by_routers(heard);
    if (by_routers.has_value() != confirmed_) {
        confirmed_ = by_routers.has_value();
        core_.log.write_always("right_without_store", {{"on", std::int64_t{confirmed_}}});
    }
    // A leader without either waits for the store: its lease may have been paused.
    valid_until_ = std::max(lease_until, by_routers.value_or(lease_until));
    const bool acts = now < valid_until_;
    if (acts != acts_) {
        core_.log.write_always(acts ? "leader_acts" : "leader_waits",
                               {{"epoch", static_cast<std::int64_t>(fleet_.leader.epoch)}});
        acts_ = acts;
    }
    may_hold_long_ = wants_long_holds() && gateway::may_hold_long(recorded_, heard) &&
                     (!pending_ || gateway::may_hold_long(*pending_, heard));
}

}  // namespace mimosavalve::gateway
