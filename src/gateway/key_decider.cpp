#include "key_decider.hpp"

#include <algorithm>
#include <set>

#include "control_timing.hpp"
#include "mimosavalve/core/error.hpp"
#include "mimosavalve/gateway/peer_messages.hpp"
#include "store_listing.hpp"

namespace mimosavalve::gateway {

namespace detail {

// Hold time of a grant in normal operation. It is short, since the keys of a lost target cannot
// move before it ends, but it outlasts a change of leader (lease and election).
constexpr milliseconds normal_hold_time{2400};
constexpr milliseconds renewal_interval{600};
// A target answers a grant at once, but a saturated inter-region link delays it by hundreds of
// milliseconds.
constexpr milliseconds grant_timeout{800};
// A renewal is sent again after this time, even while the call is in flight: its answer may be
// lost, and a hold is short.
constexpr milliseconds renewal_retry_interval{300};
constexpr milliseconds release_timeout{1500};
constexpr milliseconds retry_interval{200};
// A target is unresponsive when this many consecutive grants had no answer and it has answered
// neither a grant nor a request for this time; it then gets no keys, and its keys move to other
// targets. Single answers are lost occasionally, also those for several ranges at once, so the
// number of failures is not enough.
constexpr std::uint32_t failures_until_unresponsive = 2;
constexpr milliseconds silence_until_unresponsive{1200};
// Unless the region's network is sound, the network may be the reason for the silence, for as much
// longer as it may delay a grant.
constexpr milliseconds silence_by_congestion = congested_transit_time - sound_transit_time;
// Capacities are limited to this factor of the mean, above and below, since they may be estimated
// from few answers.
constexpr double max_capacity_factor = 3;
// The first owners are chosen when the set of targets has not changed for `settling_time`, or at
// the latest `max_settling_time` after the term began.
constexpr milliseconds settling_time{700};
constexpr milliseconds max_settling_time{4000};
// Interval between plans, so that the rates show the effect of the last one.
constexpr milliseconds plan_interval{250};
constexpr std::size_t moves_per_plan = 6;
constexpr std::size_t merges_per_plan = 2;
constexpr std::uint32_t max_grant_attempts = 4;
// Usual duration of a handover, and the maximum wait that is announced.
constexpr milliseconds usual_handover_time{250};
constexpr milliseconds max_announced_wait{60000};

milliseconds with_margin(milliseconds hold) {
    return std::chrono::duration_cast<milliseconds>(hold_end(boot_time{}, hold).time_since_epoch());
}

}  // namespace detail

key_decider::key_decider(router_core& core, std::function<void()> changed)
    : core_(core), changed_(std::move(changed)) {}

key_decider::~key_decider() = default;

std::string key_decider::record_key(const std::string& name) const {
    return core_.platform.keys.fleet + "keys/" + name;
}

hold_times key_decider::hold_bounds(const platform_bounds& bounds) {
    return {detail::with_margin(std::min(detail::normal_hold_time, bounds.max_hold)),
            detail::with_margin(bounds.max_hold)};
}

milliseconds key_decider::hold_time() const {
    const auto max_hold = core_.settings.bounds.max_hold;
    return long_holds_ ? max_hold : std::min(detail::normal_hold_time, max_hold);
}

key_decider::target_holds& key_decider::holds_of(const std::string& id) {
    const auto found = holds_by_target_.try_emplace(id).first;
    const auto entry = core_.state.registry.targets.find(id);
    if (entry != core_.state.registry.targets.end()) {
        found->second.address = entry->second.address;
        found->second.region = region_of(core_.state.regions, entry->second.failure_domain);
    }
    return found->second;
}

void key_decider::begin(const leadership& term) {
    current_term_ = term;
    active_ = true;
    term_began_ = core_.now();
    targets_unchanged_since_ = term_began_;
    target_count_ = 0;
    next_fence_ = first_fence(term.epoch);
    store_unavailable_ = false;
    long_holds_ = false;
    continued_ = false;
    inherited_end_ = boot_time::max();
    own_holds_end_ = {};
    services_.clear();
    holds_by_target_.clear();
    transit_by_region_.clear();
    term_life_.cancel_handlers();
    epoch_life_.cancel_handlers();
    load_records();
}

void key_decider::continue_term(const leadership& term) {
    current_term_ = term;
    next_fence_ = first_fence(term.epoch);
    store_unavailable_ = false;
    continued_ = true;
    // Another leader may have been elected just before the store came back.
    inherited_end_ = boot_time::max();
    epoch_life_.cancel_handlers();
    for (auto& [name, state] : services_) {
        state.writing = false;
        state.revision_lost = state.loaded;
        state.must_record = state.loaded && !state.outdated;
        // Keys without an owner are planned again after the inherited end.
        state.moves.remove_if([](const running_move& move) {
            return move.old_owner.empty() && move.phase < move_phase::granting;
        });
        for (auto& move : state.moves) {
            if (move.phase == move_phase::recording) {
                move.phase = move_phase::ready;
            }
            if (move.phase == move_phase::ready && move.old_owner != move.keys.owner) {
                move.phase = move_phase::releasing;
            }
            move.next_attempt = {};
        }
        if (state.outdated) {
            announce_outdated(name, state, core_.now());
        }
    }
    load_revisions();
}

void key_decider::end() {
    active_ = false;
    services_.clear();
    holds_by_target_.clear();
    term_life_.cancel_handlers();
    epoch_life_.cancel_handlers();
}

void key_decider::set_long_holds(bool on) {
    if (on && !long_holds_) {
        for (auto& [name, state] : services_) {
            state.next_renewals.clear();
        }
    }
    long_holds_ = on;
}

void key_decider::load_records() {
    loading_ = true;
    const auto prefix = record_key("");
    list_all(core_.platform.store, prefix, detail::store_call_time,
             epoch_life_.guard([this, prefix](std::error_code error, const store_items& items) {
                 loading_ = false;
                 if (error) {
                     return;  // `tick` retries.
                 }
                 for (const auto& item : items.items) {
                     const auto name = item.key.substr(prefix.size());
                     auto& state = services_[name];
                     // The records are also listed again when another service is added. This one is
                     // loaded already and may have moves in progress.
                     if (state.loaded) {
                         continue;
                     }
                     const auto record = decode_key_record(item.value);
                     state.revision = item.revision;
                     state.loaded = true;
                     if (record) {
                         use_record(name, state, record);
                     } else {
                         // The service counts as one without owners.
                         core_.log.write_always("record_unreadable", {{"key", item.key}});
                     }
                 }
                 for (const auto& [name, kind] : core_.state.config.services) {
                     if (kind.keyed && !services_[name].loaded) {
                         services_[name].loaded = true;
                         use_record(name, services_[name], std::nullopt);
                     }
                 }
                 const auto outdated =
                     std::count_if(services_.begin(), services_.end(),
                                   [](const auto& named) { return named.second.outdated; });
                 core_.log.write_always("leader_loaded",
                                        {{"epoch", static_cast<std::int64_t>(current_term_.epoch)},
                                         {"records", static_cast<std::int64_t>(items.items.size())},
                                         {"outdated", static_cast<std::int64_t>(outdated)}});
                 changed_();
             }));
}

void key_decider::load_revisions() {
    loading_ = true;
    list_all(core_.platform.store, record_key(""), detail::store_call_time,
             epoch_life_.guard([this](std::error_code error, const store_items& items) {
                 loading_ = false;
                 if (!error) {
                     use_revisions(items);  // After an error, `tick` retries.
                 }
             }));
}

void key_decider::use_revisions(const store_items& items) {
    const auto prefix_size = record_key("").size();
    std::map<std::string, std::uint64_t> revisions;
    for (const auto& item : items.items) {
        revisions.emplace(item.key.substr(prefix_size), item.revision);
        const auto record = decode_key_record(item.value);
        // A leader that was elected and ended meanwhile may have granted keys by it.
        if (record && store_era_of(record->epoch) == store_era_of(current_term_.epoch)) {
            boot_time held;
            for (const auto& [id, target] : holds_by_target_) {
                held = std::max(held, held_until(target, core_.now()));
            }
            begin(current_term_);
            own_holds_end_ = held;
            return;
        }
    }
    for (auto& [name, state] : services_) {
        if (state.revision_lost) {
            const auto found = revisions.find(name);
            state.revision = found == revisions.end() ? 0 : found->second;
            state.revision_lost = false;
        }
    }
}

void key_decider::use_record(const std::string& name, service_state& state,
                             const std::optional<key_record>& record) {
    const bool relies_on_record =
        record && is_current(record->epoch, current_term_.epoch) && own_holds_end_ == boot_time{};
    if (relies_on_record) {
        state.recorded = record->owners;
        core_.state.keys.insert_or_assign(name, record->owners);
        return;
    }
    const auto known = core_.state.keys.find(name);
    const auto known_fence = known == core_.state.keys.end() ? 0 : highest_fence(known->second);
    if (!record && known_fence == 0 && !current_term_.store_came_back) {
        return;  // The service has had no owners.
    }
    state.outdated = true;
    if (record && highest_fence(record->owners) >= known_fence) {
        state.recorded = record->owners;
    } else if (known_fence != 0) {
        state.recorded = known->second;
    }
    for (auto& segment : state.recorded.segments) {
        segment.moving = false;
        segment.wait_ms = 0;
    }
    join_equal(state.recorded);
    announce_outdated(name, state, core_.now());
}

void key_decider::announce_outdated(const std::string& name, const service_state& state,
                                    boot_time now) {
    // Until the leader has taken over, the inherited end is known only to be later than this.
    const auto until = inherited_end_ == boot_time::max()
                           ? now + confirmation_time + hold_bounds(core_.settings.bounds).normal
                           : std::min(inherited_end_, now + detail::max_announced_wait);
    auto marked = state.recorded;
    for (auto& segment : marked.segments) {
        segment.moving = !segment.owner.empty();
        segment.wait_ms =
            static_cast<std::uint32_t>(std::max<std::int64_t>(milliseconds_until(until, now), 0));
    }
    core_.state.keys.insert_or_assign(name, std::move(marked));
    core_.state.keys_received_at[name] = now;
    changed_();
}

void key_decider::replace_outdated(const std::string& name, service_state& state, boot_time now) {
    if (now < inherited_end_ || store_unavailable_) {
        return;
    }
    const auto candidates = candidates_of(name, now);
    if (candidates.empty()) {
        return;
    }
    state.outdated = false;
    std::vector<planned_move> kept;
    auto marked = state.recorded;
    for (auto& segment : marked.segments) {
        const bool owner_serves =
            std::any_of(candidates.begin(), candidates.end(), [&](const key_candidate& candidate) {
                return candidate.id == segment.owner &&
                       candidate.instance == segment.owner_instance;
            });
        if (owner_serves) {
            segment.moving = true;
            segment.wait_ms = static_cast<std::uint32_t>(detail::usual_handover_time.count());
            kept.push_back({segment.first, segment.last, segment.owner, segment.owner_instance});
        } else {
            segment.owner.clear();
            segment.owner_instance = 0;
        }
    }
    state.recorded = marked;
    for (auto& segment : state.recorded.segments) {
        segment.moving = false;
        segment.wait_ms = 0;
    }
    core_.state.keys.insert_or_assign(name, std::move(marked));
    core_.state.keys_received_at[name] = now;
    for (const auto& move : kept) {
        start_move(name, state, move, now);
    }
    changed_();
}

void key_decider::set_inherited_end(boot_time end) {
    end = std::max(end, own_holds_end_);
    if (end == inherited_end_) {
        return;
    }
    inherited_end_ = end;
    for (const auto& [name, state] : services_) {
        if (state.outdated) {
            announce_outdated(name, state, core_.now());
        }
    }
}

void key_decider::add_loads(const std::map<std::string, key_load>& loads) {
    const auto now = core_.now();
    for (const auto& [name, load] : loads) {
        const auto found = services_.find(name);
        if (found != services_.end()) {
            add_load(found->second.rates, load, now);
        }
    }
}

std::vector<key_candidate> key_decider::candidates_of(const std::string& name,
                                                      boot_time now) const {
    std::vector<key_candidate> warm;
    std::vector<key_candidate> cold;
    for (const auto& [id, target] : core_.state.targets) {
        const auto& entry = target->entry;
        if (entry.service != name || !can_send_to(core_.state, *target, now)) {
            continue;
        }
        if (is_unresponsive(id, now)) {
            continue;
        }
        const key_candidate candidate{id, entry.started_unix_ms, capacity_of(core_.state, *target)};
        // An owner that has turned cold keeps its keys: moving them would make more targets slow.
        const auto map = core_.state.keys.find(name);
        const bool owns = map != core_.state.keys.end() &&
                          std::any_of(map->second.segments.begin(), map->second.segments.end(),
                                      [&](const auto& segment) {
                                          return segment.owner == entry.id &&
                                                 segment.owner_instance == entry.started_unix_ms;
                                      });
        (is_cold(*target, now) && !owns ? cold : warm).push_back(candidate);
    }
    auto& chosen = warm.empty() ? cold : warm;
    double mean = 0;
    for (const auto& candidate : chosen) {
        mean += candidate.capacity / static_cast<double>(chosen.size());
    }
    for (auto& candidate : chosen) {
        candidate.capacity = std::clamp(candidate.capacity, mean / detail::max_capacity_factor,
                                        mean * detail::max_capacity_factor);
    }
    return chosen;
}

void key_decider::tick() {
    const auto now = core_.now();
    if (!may_act(now)) {
        return;
    }
    if (!loading_ && std::any_of(services_.begin(), services_.end(),
                                 [](const auto& named) { return named.second.revision_lost; })) {
        load_revisions();
    }
    if (core_.state.targets.size() != target_count_) {
        target_count_ = core_.state.targets.size();
        targets_unchanged_since_ = now;
    }
    log_transit(now);
    for (const auto& [name, kind] : core_.state.config.services) {
        if (!kind.keyed) {
            continue;
        }
        auto& state = services_[name];
        if (!state.loaded) {
            if (!loading_) {
                load_records();
            }
            continue;
        }
        decay(state.rates, now);
        if (state.outdated) {
            replace_outdated(name, state, now);
        }
        if (state.outdated) {
            continue;
        }
        plan(name, state, now);
        for (auto& move : state.moves) {
            advance(name, state, move, now);
        }
        state.moves.remove_if(
            [](const running_move& move) { return move.phase == move_phase::done; });
        write_owners(name, state, now);
    }
    renew(now);
}

void key_decider::plan(const std::string& name, service_state& state, boot_time now) {
    auto& map = core_.state.keys[name];
    const bool settled = now - targets_unchanged_since_ > detail::settling_time ||
                         now - term_began_ > detail::max_settling_time || state.revision != 0;
    const auto candidates = candidates_of(name, now);
    if (!settled || candidates.empty() || store_unavailable_) {
        return;
    }
    for (const auto& move : plan_unassigned(map, state.rates, candidates)) {
        start_move(name, state, move, now);
    }
    // No balancing before the first owners are recorded.
    if (now < state.next_plan || !state.moves.empty() || state.revision == 0) {
        return;
    }
    state.next_plan = now + detail::plan_interval;
    auto moves = plan_balance(map, state.rates, candidates, detail::moves_per_plan);
    if (moves.empty()) {
        moves = plan_shared_fences(map, candidates, detail::moves_per_plan);
    }
    if (moves.empty()) {
        moves = plan_merge(map, state.rates, candidates, detail::merges_per_plan);
    }
    for (const auto& move : moves) {
        start_move(name, state, move, now);
    }
}

void key_decider::start_move(const std::string& name, service_state& state,
                             const planned_move& planned, boot_time now) {
    const bool overlaps =
        std::any_of(state.moves.begin(), state.moves.end(), [&](const running_move& other) {
            return other.keys.first <= planned.last && planned.first <= other.keys.last;
        });
    if (overlaps) {
        return;
    }
    auto& map = core_.state.keys[name];
    const auto old = segment_of(map, planned.first);
    const auto old_target = core_.state.targets.find(old.owner);
    const bool old_serves = old_target != core_.state.targets.end() &&
                            old_target->second->entry.started_unix_ms == old.owner_instance &&
                            can_send_to(core_.state, *old_target->second, now) &&
                            !is_unresponsive(old.owner, now);
    if (old.owner != planned.to && old_serves && now < inherited_end_) {
        return;  // The owner serves until its keys may move to another target.
    }
    if (old.owner.empty() && continued_ && now < inherited_end_) {
        return;  // A leader that the store has forgotten may have granted the keys.
    }
    running_move move;
    move.service = name;
    move.keys = {planned.first, planned.last, planned.to,
                 next_fence_++, false,        planned.to_instance};
    move.old_owner = old.owner;
    move.began = now;
    // A new instance of the same target holds none of the previous instance's keys.
    const bool same_target = old.owner == planned.to;
    if (!old.owner.empty() && !same_target) {
        move.phase = move_phase::releasing;
        move.not_before = free_at(move, now);
        auto marked = old;
        marked.wait_ms = static_cast<std::uint32_t>(expected_wait_ms(move, now));
        marked.first = planned.first;
        marked.last = planned.last;
        marked.moving = true;
        publish(name, marked);
    } else if (same_target && old.owner_instance != planned.to_instance) {
        // Failed grants to the previous instance say nothing about this one.
        holds_of(old.owner).failures = 0;
        holds_of(old.owner).has_timed_out = false;
    }
    core_.log.write("keys_move", {{"service", name},
                                  {"first", std::int64_t{planned.first}},
                                  {"last", std::int64_t{planned.last}},
                                  {"from", old.owner},
                                  {"to", planned.to},
                                  {"fence", static_cast<std::int64_t>(move.keys.fence)},
                                  {"epoch", static_cast<std::int64_t>(current_term_.epoch)},
                                  {"rate", rate_of(state.rates, planned.first, planned.last)}});
    count(core_.metrics, "key_moves");
    state.moves.push_back(std::move(move));
}

void key_decider::advance(const std::string& /*name*/, service_state& /*state*/, running_move& move,
                          boot_time now) {
    if (move.phase == move_phase::releasing) {
        move.not_before = free_at(move, now);
        if (now >= move.not_before) {
            log_free_keys(move, now);
            move.phase = move_phase::ready;
            move.next_attempt = {};
        } else if (!move.released && !move.release_in_flight && now >= move.next_attempt) {
            release(move, now);
        }
    } else if (move.phase == move_phase::granting && !move.grant_in_flight &&
               now >= move.next_attempt) {
        grant_moved(move, now);
    }
}

const transit_evidence& key_decider::transit_to(const target_holds& target) const {
    static const transit_evidence none;
    const auto found = transit_by_region_.find(target.region);
    return found == transit_by_region_.end() ? none : found->second.evidence;
}

milliseconds key_decider::longest_transit(boot_time now) const {
    std::set<std::string, std::less<>> regions;
    for (const auto& [region, transit] : transit_by_region_) {
        regions.insert(region);
    }
    for (const auto& [id, entry] : core_.state.registry.targets) {
        const auto kind = core_.state.config.services.find(entry.service);
        if (kind != core_.state.config.services.end() && kind->second.keyed) {
            regions.emplace(region_of(core_.state.regions, entry.failure_domain));
        }
    }
    const bool all_sound =
        !regions.empty() && std::all_of(regions.begin(), regions.end(), [&](const auto& region) {
            const auto found = transit_by_region_.find(region);
            return found != transit_by_region_.end() && is_sound(found->second.evidence, now);
        });
    return all_sound ? sound_transit_time : congested_transit_time;
}

void key_decider::log_transit(boot_time now) {
    for (auto& [region, transit] : transit_by_region_) {
        const bool sound = is_sound(transit.evidence, now);
        if (sound != transit.logged_as_sound) {
            transit.logged_as_sound = sound;
            core_.log.write_always(sound ? "network_sound" : "network_congested",
                                   {{"region", region}});
        }
    }
}

boot_time key_decider::unanswered_end(const target_holds& target, const pending_grant& grant,
                                      boot_time now) const {
    const auto transit = transit_bound(transit_to(target), grant.sent_at, now);
    return hold_end(grant.sent_at + transit, grant.hold);
}

boot_time key_decider::held_until(const target_holds& target, boot_time now) const {
    auto end = target.granted_until;
    for (const auto& grant : target.pending_grants) {
        end = std::max(end, unanswered_end(target, grant, now));
    }
    return end;
}

bool key_decider::has_grant_in_flight(const target_holds& target, const key_segment& keys) {
    return std::any_of(target.pending_grants.begin(), target.pending_grants.end(),
                       [&](const pending_grant& grant) {
                           return grant.in_flight && grant.first <= keys.last &&
                                  keys.first <= grant.last;
                       });
}

boot_time key_decider::unanswered_until(const target_holds& target, const key_segment& keys,
                                        boot_time now) const {
    boot_time end;
    for (const auto& grant : target.pending_grants) {
        if (grant.first <= keys.last && keys.first <= grant.last) {
            end = std::max(end, unanswered_end(target, grant, now));
        }
    }
    return end;
}

bool key_decider::is_unresponsive(const std::string& id, boot_time now) const {
    const auto known = holds_by_target_.find(id);
    if (known == holds_by_target_.end() ||
        known->second.failures < detail::failures_until_unresponsive) {
        return false;
    }
    const auto target = core_.state.targets.find(id);
    const auto last_answer = target == core_.state.targets.end()
                                 ? known->second.answered_at
                                 : std::max(known->second.answered_at, target->second->answered_at);
    const auto silence = is_sound(transit_to(known->second), now)
                             ? detail::silence_until_unresponsive
                             : detail::silence_until_unresponsive + detail::silence_by_congestion;
    return now - last_answer >= silence;
}

boot_time key_decider::free_at(const running_move& move, boot_time now) {
    const auto& from = holds_of(move.old_owner);
    // An unanswered grant may take effect after the release, at a new instance of the target that
    // does not have the fence of the release.
    const auto own_end =
        move.released ? unanswered_until(from, move.keys, now) : held_until(from, now);
    return std::max(own_end, inherited_end_);
}

std::int64_t key_decider::expected_wait_ms(const running_move& move, boot_time now) {
    // An owner that is in the registry and answers releases its keys when its running work has
    // ended.
    const auto found = holds_by_target_.find(move.old_owner);
    const bool answers = core_.state.registry.targets.contains(move.old_owner) &&
                         found != holds_by_target_.end() && found->second.failures == 0;
    auto until = std::min(move.not_before, now + detail::max_announced_wait);
    if (answers) {
        until = std::min(until, std::max(now + detail::usual_handover_time, inherited_end_));
    }
    return milliseconds_until(until, now);
}

void key_decider::release(running_move& move, boot_time now) {
    auto& from = holds_of(move.old_owner);
    // A grant that arrives after the release would give the keys back to the old owner.
    if (from.address.empty() || has_grant_in_flight(from, move.keys)) {
        return;
    }
    move.release_in_flight = true;
    move.release_sent_at = now;
    move.next_attempt = now + detail::retry_interval;
    // The release carries the new fence, so that the target refuses a late renewal with the old
    // one.
    core_.platform.commands.release(
        from.address, move.keys, detail::deadline_in(detail::release_timeout),
        term_life_.guard([this, service = move.service, fence = move.keys.fence](
                             std::error_code error, const std::string& handover) {
            const auto found = services_.find(service);
            if (found == services_.end()) {
                return;
            }
            for (auto& released : found->second.moves) {
                if (released.keys.fence != fence) {
                    continue;
                }
                released.release_in_flight = false;
                // The hold may have ended while the owner did not answer.
                if (error || released.phase != move_phase::releasing) {
                    continue;
                }
                released.released = true;
                released.handover = handover;
                released.not_before = free_at(released, core_.now());
                // `next_attempt` delays only retries of the release, not the next phase.
                released.next_attempt = {};
                if (core_.now() >= released.not_before) {
                    log_free_keys(released, core_.now());
                    released.phase = move_phase::ready;
                }
            }
            tick();
        }));
}

void key_decider::log_free_keys(const running_move& move, boot_time now) {
    const auto& from = holds_of(move.old_owner);
    const auto ms_since = [now](boot_time at) {
        return at == boot_time{} ? std::int64_t{-1} : -milliseconds_until(at, now);
    };
    core_.log.write("keys_free",
                    {{"service", move.service},
                     {"first", std::int64_t{move.keys.first}},
                     {"last", std::int64_t{move.keys.last}},
                     {"from", move.old_owner},
                     {"why", move.released ? "released" : "hold ended"},
                     {"began_ms_ago", ms_since(move.began)},
                     {"grant_sent_ms_ago", ms_since(from.sent_at)},
                     {"grant_answered_ms_ago", ms_since(from.answered_at)},
                     {"unanswered", static_cast<std::int64_t>(from.pending_grants.size())},
                     {"transit_ms", std::int64_t{transit_bound(transit_to(from), now).count()}},
                     {"release_sent_ms_ago", ms_since(move.release_sent_at)}});
}

void key_decider::write_owners(const std::string& name, service_state& state, boot_time now) {
    if (state.writing || state.revision_lost || !may_act(now)) {
        return;
    }
    auto next = state.recorded;
    bool any = state.must_record && now >= state.next_record;
    for (auto& move : state.moves) {
        if (move.phase != move_phase::ready || now < move.next_attempt) {
            continue;
        }
        move.phase = move_phase::recording;
        assign(next, move.keys);
        any = true;
    }
    if (!any) {
        return;
    }
    state.writing = true;
    store_batch batch;
    batch.conditions = {{current_term_.key, current_term_.epoch},
                        {record_key(name), state.revision}};
    batch.writes = {{record_key(name), encode(key_record{next, current_term_.epoch}), 0}};
    core_.platform.store.write(
        batch, detail::deadline_in(detail::store_call_time),
        epoch_life_.guard([this, name, next](std::error_code error, std::uint64_t revision) {
            on_owners_written(name, next, error, revision);
        }));
}

void key_decider::on_owners_written(const std::string& name, const key_map& written,
                                    std::error_code error, std::uint64_t revision) {
    auto& state = services_[name];
    if (error == errc::store_unavailable || error == errc::store_conflict) {
        // Without an answer, the write may have taken effect. After a conflict, an earlier write
        // may have.
        check_written_owners(name, written);
        return;
    }
    const auto now = core_.now();
    state.writing = false;
    if (!error) {
        state.recorded = written;
        state.revision = revision;
        state.must_record = false;
    }
    state.next_record = now + detail::retry_interval;
    for (auto& move : state.moves) {
        if (move.phase == move_phase::recording) {
            move.phase = error ? move_phase::ready : move_phase::granting;
            move.next_attempt = error ? now + detail::retry_interval : now;
        }
    }
    if (error) {
        core_.log.write("record_failed", {{"service", name}, {"error", error.message()}});
    } else {
        tick();
    }
}

void key_decider::check_written_owners(const std::string& name, const key_map& written) {
    core_.platform.store.read(
        record_key(name), detail::deadline_in(detail::store_call_time),
        epoch_life_.guard([this, name, written](std::error_code error, const store_item& item,
                                                std::uint64_t /*revision*/) {
            auto& state = services_[name];
            const auto record = decode_key_record(item.value);
            if (error && error != errc::not_found) {
                if (may_act(core_.now())) {
                    check_written_owners(name, written);
                    return;
                }
                // Still unconfirmed, and treated as refused: the condition of the next write fails
                // if this one took effect.
            } else if (record == key_record{written, current_term_.epoch}) {
                on_owners_written(name, written, {}, item.revision);
                return;
            } else if (store_era_of(item.revision) > store_era_of(current_term_.epoch)) {
                // The store has come back older, and lacks this leader's last writes. The term is
                // continued with its own owners, or ends.
            } else if (item.revision != state.revision && record) {
                // An earlier write of this leader took effect late. If another leader wrote this,
                // the condition on the leader's item makes every write of this leader fail.
                core_.log.write_always(
                    "record_adopted",
                    {{"service", name}, {"revision", static_cast<std::int64_t>(item.revision)}});
                // A write of an earlier era may take effect by accident, since the store gives out
                // revisions again.
                if (is_current(record->epoch, current_term_.epoch)) {
                    state.recorded = record->owners;
                }
                state.revision = item.revision;
            }
            on_owners_written(name, written, make_error_code(errc::store_refused), 0);
        }));
}

void key_decider::send_grant(const key_segment& keys, const std::string& handover, boot_time now,
                             std::function<void(std::error_code)> done) {
    auto& to = holds_of(keys.owner);
    const auto hold = hold_time();
    // As long as it might count if congestion were noticed only now.
    std::erase_if(to.pending_grants, [&](const pending_grant& grant) {
        return !grant.in_flight &&
               hold_end(grant.sent_at + congested_transit_time, grant.hold) <= now;
    });
    transit_by_region_.try_emplace(to.region);
    const auto number = next_grant_++;
    to.pending_grants.push_back({number, keys.first, keys.last, now, hold, true});
    to.sent_at = now;
    // A target that has never answered counts as silent since its first grant.
    if (to.answered_at == boot_time{}) {
        to.answered_at = now;
    }
    // A grant must not leave a send queue after the leader's term has ended.
    const auto call_time =
        std::min(detail::grant_timeout,
                 std::chrono::duration_cast<milliseconds>(current_term_.valid_until - now));
    core_.platform.commands.grant(
        to.address, keys, hold, handover, detail::deadline_in(call_time),
        term_life_.guard([this, id = keys.owner, hold, number, now, done = std::move(done)](
                             std::error_code error, const std::string&) {
            on_grant_ended(id, number, now, hold, error);
            done(error);
        }));
}

void key_decider::on_grant_ended(const std::string& id, std::uint64_t number, boot_time sent_at,
                                 milliseconds hold, std::error_code error) {
    auto& target = holds_of(id);
    const auto now = core_.now();
    const auto took = now - sent_at;
    if (took > sound_transit_time) {
        core_.log.write("grant_slow", {{"target", id},
                                       {"error", error ? error.message() : ""},
                                       {"took_ms", -milliseconds_until(sent_at, now)}});
    }
    const bool answered = !error || error == errc::target_refused;
    for (auto& grant : target.pending_grants) {
        grant.in_flight = grant.in_flight && grant.number != number;
    }
    // A grant that could not be sent has no effect.
    if (answered || error == errc::target_unreachable) {
        std::erase_if(target.pending_grants,
                      [&](const pending_grant& grant) { return grant.number == number; });
    }
    if (answered) {
        // It arrived before its answer.
        target.granted_until = std::max(target.granted_until, hold_end(now, hold));
        record_answer(transit_by_region_[target.region].evidence, sent_at, now,
                      target.has_timed_out);
        target.has_timed_out = false;
        target.failures = 0;
        target.answered_at = now;
    } else {
        target.has_timed_out =
            target.has_timed_out || error == std::errc::timed_out || took > sound_transit_time;
        ++target.failures;
        core_.log.write("grant_failed", {{"target", id},
                                         {"error", error.message()},
                                         {"failures", std::int64_t{target.failures}}});
    }
}

void key_decider::grant_moved(running_move& move, boot_time now) {
    if (!may_act(now)) {
        return;
    }
    move.grant_in_flight = true;
    ++move.attempts;
    move.next_attempt = now + detail::retry_interval;
    send_grant(move.keys, move.handover, now,
               [this, service = move.service, fence = move.keys.fence](std::error_code error) {
                   const auto found = services_.find(service);
                   if (found == services_.end()) {
                       return;
                   }
                   for (auto& moved : found->second.moves) {
                       if (moved.keys.fence != fence) {
                           continue;
                       }
                       moved.grant_in_flight = false;
                       // A target that does not answer remains the recorded owner until the next
                       // plan finds that it is unresponsive.
                       if (!error || moved.attempts >= detail::max_grant_attempts ||
                           error == errc::target_refused) {
                           moved.phase = move_phase::done;
                           publish(service, moved.keys);
                       }
                   }
               });
}

void key_decider::publish(const std::string& name, const key_segment& keys) {
    assign(core_.state.keys[name], keys);
    core_.state.keys_received_at[name] = core_.now();
    changed_();
}

void key_decider::assign_new_fence(const std::string& service, const key_segment& keys) {
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return;
    }
    // The refusal of a renewal that was in flight while a part of its range moved is ignored.
    if (segment_of(core_.state.keys[service], keys.first) != keys) {
        return;
    }
    start_move(service, found->second, {keys.first, keys.last, keys.owner, keys.owner_instance},
               core_.now());
}

void key_decider::renew(boot_time now) {
    struct due {
        std::string service;
        key_segment keys;
    };
    std::vector<due> grants;
    for (auto& [name, state] : services_) {
        const auto map = core_.state.keys.find(name);
        // The map may be out of date until the record has been read.
        if (map == core_.state.keys.end() || !state.loaded || state.outdated) {
            continue;
        }
        std::erase_if(state.next_renewals, [&](const auto& renewal) {
            return segment_of(map->second, renewal.first).first != renewal.first;
        });
        for (const auto& segment : map->second.segments) {
            if (segment.owner.empty() || segment.moving) {
                continue;
            }
            const auto entry = core_.state.registry.targets.find(segment.owner);
            const bool is_unregistered = entry == core_.state.registry.targets.end() ||
                                         entry->second.started_unix_ms != segment.owner_instance;
            auto& next = state.next_renewals[segment.first];
            if (!is_unregistered && now >= next) {
                next = now + detail::renewal_retry_interval;
                grants.push_back({name, segment});
            }
        }
    }
    for (const auto& grant : grants) {
        send_grant(grant.keys, "", now, [this, grant, now](std::error_code error) {
            if (error == errc::target_refused) {
                assign_new_fence(grant.service, grant.keys);
            } else if (!error) {
                auto& next = services_[grant.service].next_renewals[grant.keys.first];
                next = std::max(next, now + detail::renewal_interval);
            }
        });
    }
}

}  // namespace mimosavalve::gateway
