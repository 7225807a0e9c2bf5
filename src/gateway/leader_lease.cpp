#include "leader_lease.hpp"

#include <algorithm>

#include "control_timing.hpp"
#include "key_decider.hpp"
#include "mimosavalve/core/error.hpp"
#include "peer_paths.hpp"

namespace mimosavalve::gateway {

namespace detail {

// Interval at which the record of router instances is updated.
constexpr milliseconds record_interval{1500};
// Interval between a new leader's announcements to the routers that do not follow it yet, and their
// timeout: a router without a network connection does not answer.
constexpr milliseconds announcement_interval{500};
// Number of announcements after which a router that is silent counts as gone. A leader that was
// itself suspended has announced nothing in that time.
constexpr int min_announcements = 10;

}  // namespace detail

leader_lease::leader_lease(router_core& core, fleet_state& fleet, call_client& calls,
                           evidence_source evidence, instances_source followers)
    : core_(core),
      fleet_(fleet),
      calls_(calls),
      evidence_(std::move(evidence)),
      followers_(std::move(followers)) {}

void leader_lease::begin() {
    term_life_.cancel_handlers();
    recorded_.clear();
    unconfirmed_.clear();
    loaded_ = false;
    record_changed_ = false;
    record_current_ = false;
    call_in_flight_ = false;
    inherited_end_.reset();
    inherited_records_.clear();
    reported_end_ = {};
    recorded_end_ = {};
    has_recorded_end_ = false;
    would_know_long_holds_ = false;
    predecessor_lease_end_ = core_.now();
    may_act_ = true;
    confirmed_until_ = {};
    confirmed_by_routers_ = false;
    may_grant_long_holds_ = false;
    announcements_ = 0;
}

void leader_lease::continue_term() {
    // A successor would read the record that the store has now, and one that was elected just
    // before the store came back has read the last one, so both count until the next one is
    // written.
    auto unconfirmed = std::move(unconfirmed_);
    if (loaded_) {
        unconfirmed.push_back(std::move(recorded_));
    }
    begin();
    unconfirmed_ = std::move(unconfirmed);
    next_record_ = {};
    next_announcement_ = {};
    announce_leader(core_.now());
}

void leader_lease::tick(boot_time now, boot_time lease_until) {
    lease_until_ = lease_until;
    if (!loaded_) {
        load();
    } else if (!inherited_end_) {
        take_over(now);
        announce_leader(now);
    } else {
        if (now < *inherited_end_) {
            update_inherited_end(now, evidence_(now));
        }
        record_instances(now, lease_until);
    }
    update_valid_until(now, lease_until);
}

bool leader_lease::wants_long_holds() const {
    return fleet_.leading && fleet_.stopping && confirmed_by_routers_;
}

void leader_lease::load() {
    if (call_in_flight_) {
        return;
    }
    call_in_flight_ = true;
    core_.platform.store.read(
        key(), detail::deadline_in(detail::store_call_time),
        term_life_.guard([this](std::error_code error, const store_item& item, std::uint64_t) {
            call_in_flight_ = false;
            if (error && error != errc::not_found) {
                record_store_call(core_, fleet_, false, "read routers");
                return;  // `tick` retries.
            }
            record_revision_ = item.revision;
            // Without a record there is no predecessor, unless the store has lost it.
            record_current_ = !fleet_.store_came_back;
            if (!error) {
                auto record = decode_router_record(item.value);
                // An unreadable record counts as one without routers.
                if (!record) {
                    core_.log.write_always("record_unreadable", {{"key", key()}});
                }
                record_current_ = record && is_current(record->epoch, fleet_.leader.epoch);
                if (record) {
                    recorded_ = std::move(record->instances);
                    recorded_end_ = core_.now() + milliseconds(record->inherited_holds_ms);
                }
            }
            if (!record_current_) {
                // After the store has come back older, the claim did not wait for the predecessor's
                // lease.
                predecessor_lease_end_ =
                    core_.now() + detail::leader_lease_time(core_.settings.min_lease);
            }
            loaded_ = true;
        }));
}

void leader_lease::take_over(boot_time now) {
    const auto evidence = evidence_(now);
    auto records = unconfirmed_;
    records.push_back(recorded_);
    const bool routers_follow =
        std::all_of(records.begin(), records.end(),
                    [&](const auto& record) { return has_taken_over(record, evidence); });
    if (!routers_follow && !has_outwaited_predecessor(now)) {
        return;
    }
    inherited_records_ = std::move(records);
    const auto holds = key_decider::hold_bounds(core_.settings.bounds);
    predecessor_left_at_ =
        routers_follow ? now : isolated_term_end(holds, predecessor_lease_end_) - confirmation_time;
    update_inherited_end(now, evidence);
    core_.log.write_always("leader_took_over",
                           {{"runs_recorded", static_cast<std::int64_t>(recorded_.size())},
                            {"record_current", std::int64_t{record_current_}},
                            {"routers_follow", std::int64_t{routers_follow}},
                            {"would_know_long_holds", std::int64_t{would_know_long_holds_}},
                            {"inherited_holds_ms", milliseconds_until(*inherited_end_, now)}});
}

void leader_lease::update_inherited_end(boot_time now, const evidence_by_host& evidence) {
    const bool knew_long_holds = would_know_long_holds_;
    would_know_long_holds_ =
        knew_long_holds ||
        std::all_of(inherited_records_.begin(), inherited_records_.end(),
                    [&](const auto& record) { return would_report_long_holds(record, evidence); });
    const auto holds = key_decider::hold_bounds(core_.settings.bounds);
    const auto lease_left =
        std::max(milliseconds(0),
                 milliseconds(milliseconds_until(predecessor_lease_end_, predecessor_left_at_)));
    reported_end_ =
        std::max({reported_end_, recorded_end_,
                  inherited_holds_end(holds, evidence, predecessor_left_at_, lease_left)});
    inherited_end_ = would_know_long_holds_
                         ? reported_end_
                         : std::max(reported_end_, long_holds_end(holds, predecessor_lease_end_));
    if (would_know_long_holds_ && !knew_long_holds && now > predecessor_left_at_) {
        core_.log.write_always("long_holds_reported",
                               {{"inherited_holds_ms", milliseconds_until(*inherited_end_, now)}});
    }
}

bool leader_lease::has_outwaited_predecessor(boot_time now) const {
    const auto holds = key_decider::hold_bounds(core_.settings.bounds);
    return announcements_ >= detail::min_announcements &&
           now >= long_holds_end(holds, predecessor_lease_end_);
}

boot_time leader_lease::own_long_holds_end() const {
    return long_holds_end(key_decider::hold_bounds(core_.settings.bounds), lease_until_);
}

// A successor may move inherited keys only after the recorded routers have left its predecessor.
// Without the announcement, those that cannot reach the store would follow the predecessor until
// the store is available again.
void leader_lease::announce_leader(boot_time now) {
    if (inherited_end_ || now < next_announcement_) {
        return;
    }
    next_announcement_ = now + detail::announcement_interval;
    ++announcements_;
    const auto body = encode(fleet_.leader);
    const auto evidence = evidence_(now);
    auto receivers = recorded_;
    for (const auto& record : unconfirmed_) {
        receivers.insert(record.begin(), record.end());
    }
    for (const auto& [host, instance] : receivers) {
        const auto to = parse_endpoint(instance.address);
        if (!to || evidence.contains(host)) {
            continue;
        }
        calls_.send(
            *to, {"POST", peer_paths::leader, peer_paths::body_type, body, {}, {}},
            detail::deadline_in(detail::announcement_interval),
            term_life_.guard([this, host = host](std::error_code error, const call_answer&) {
                // The announcement is repeated until the router follows.
                core_.log.write("leader_notice",
                                {{"host", host}, {"error", error ? error.message() : ""}});
            }));
    }
}

void leader_lease::record_instances(boot_time now, boot_time lease_until) {
    if (call_in_flight_ || now >= lease_until || now < next_record_) {
        return;
    }
    next_record_ = now + detail::record_interval;
    if (record_changed_) {
        read_revision();
        return;
    }
    auto current = followers_(now);
    current.emplace(core_.settings.host,
                    router_instance(fleet_.instance, core_.settings.peer_address));
    const auto inherited_holds = inherited_holds_to_record(now);
    if (current == recorded_ && unconfirmed_.empty() &&
        has_recorded_end_ == (inherited_holds > 0)) {
        return;
    }
    if (std::find(unconfirmed_.begin(), unconfirmed_.end(), current) == unconfirmed_.end()) {
        unconfirmed_.push_back(current);
    }
    call_in_flight_ = true;
    store_batch batch;
    // Without the second condition, an earlier write that takes effect late would replace this one.
    batch.conditions = {{core_.platform.keys.fleet + "leader", fleet_.leader.epoch},
                        {key(), record_revision_}};
    batch.writes = {
        {key(), encode(router_record{current, fleet_.leader.epoch, inherited_holds}), 0}};
    core_.platform.store.write(
        batch, detail::deadline_in(detail::store_call_time),
        term_life_.guard(
            [this, current, inherited_holds](std::error_code error, std::uint64_t revision) {
                call_in_flight_ = false;
                if (error) {
                    // The write may have taken effect, so until the next one the routers of all
                    // these records must confirm the term.
                    core_.log.write("record_failed", {{"key", key()}, {"error", error.message()}});
                    record_changed_ = true;
                    next_record_ = {};
                    return;
                }
                record_revision_ = revision;
                recorded_ = current;
                has_recorded_end_ = inherited_holds > 0;
                unconfirmed_.clear();
            }));
}

void leader_lease::read_revision() {
    call_in_flight_ = true;
    core_.platform.store.read(
        key(), detail::deadline_in(detail::store_call_time),
        term_life_.guard([this](std::error_code error, const store_item& item, std::uint64_t) {
            call_in_flight_ = false;
            if (!error || error == errc::not_found) {
                record_revision_ = item.revision;
                record_changed_ = false;
                next_record_ = {};
            }
        }));
}

std::uint64_t leader_lease::inherited_holds_to_record(boot_time now) const {
    const auto awaited = confirmation_time + key_decider::hold_bounds(core_.settings.bounds).normal;
    const auto left = milliseconds_until(*inherited_end_, now);
    return left > awaited.count() ? static_cast<std::uint64_t>(left) : 0;
}

// Any of the records may be the one that a successor reads, so all must confirm the term.
std::optional<boot_time> leader_lease::lease_by_routers(const evidence_by_host& evidence) const {
    const auto isolated_end =
        isolated_term_end(key_decider::hold_bounds(core_.settings.bounds), lease_until_);
    auto records = unconfirmed_;
    records.push_back(recorded_);
    auto term_end = boot_time::max();
    for (const auto& record : records) {
        const auto by_majority = lease_without_store(record, evidence);
        const auto by_all_parts = lease_by_all_parts(record, evidence, core_.state.regions);
        if (!by_majority || !by_all_parts) {
            return std::nullopt;
        }
        term_end =
            std::min(term_end, std::max(std::min(*by_majority, isolated_end), *by_all_parts));
    }
    return term_end;
}

void leader_lease::update_valid_until(boot_time now, boot_time lease_until) {
    const auto evidence = evidence_(now);
    const auto by_routers =
        fleet_.store_responsive ? std::optional<boot_time>() : lease_by_routers(evidence);
    if (by_routers.has_value() != confirmed_by_routers_) {
        confirmed_by_routers_ = by_routers.has_value();
        core_.log.write_always("right_without_store",
                               {{"on", std::int64_t{confirmed_by_routers_}}});
    }
    // A leader with neither a valid lease nor confirmation keeps its role and waits for the store,
    // where its lease may have been paused. What routers have confirmed stays valid when the store
    // is available again: a successor counts `confirmation_time` from its own takeover.
    confirmed_until_ = std::max(confirmed_until_, by_routers.value_or(boot_time{}));
    valid_until_ = std::max(lease_until, confirmed_until_);
    const bool acts = now < valid_until_;
    if (acts != may_act_) {
        core_.log.write_always(acts ? "leader_acts" : "leader_waits",
                               {{"epoch", static_cast<std::int64_t>(fleet_.leader.epoch)}});
        may_act_ = acts;
    }
    const bool could_grant_long_holds = may_grant_long_holds_;
    may_grant_long_holds_ =
        wants_long_holds() && gateway::may_grant_long_holds(recorded_, evidence) &&
        std::all_of(unconfirmed_.begin(), unconfirmed_.end(), [&](const auto& record) {
            return gateway::may_grant_long_holds(record, evidence);
        });
    if (may_grant_long_holds_ != could_grant_long_holds) {
        core_.log.write_always("long_holds",
                               {{"on", std::int64_t{may_grant_long_holds_}},
                                {"latest_end_ms", milliseconds_until(own_long_holds_end(), now)}});
    }
}

}  // namespace mimosavalve::gateway
