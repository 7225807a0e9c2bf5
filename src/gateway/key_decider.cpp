#include "key_decider.hpp"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include "control_timing.hpp"
#include "fleet_state.hpp"
#include "key_decider_detail.hpp"
#include "mimosavalve/core/error.hpp"
#include "mimosavalve/gateway/peer_messages.hpp"
#include "store_listing.hpp"

namespace mimosavalve::gateway {

namespace detail {

// Hold time of a grant in normal operation. It is short, since the keys of a lost target cannot
// move before it ends, but it outlasts a change of leader (lease and election).
constexpr milliseconds normal_hold_time{2400};
// Capacities are limited to this factor of the mean, above and below, since they may be estimated
// from few answers.
constexpr double max_capacity_factor = 3;

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

milliseconds key_decider::hold_time(boot_time now) const {
    const auto max_hold = core_.settings.bounds.max_hold;
    const auto normal = std::min(detail::normal_hold_time, max_hold);
    return long_holds_ ? std::clamp(max_hold_until(now, long_holds_end_), normal, max_hold)
                       : normal;
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
    moved_.clear();
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

void key_decider::set_long_holds(bool on, boot_time latest_end) {
    if (on && !long_holds_) {
        for (auto& [name, state] : services_) {
            state.renewals.clear();
        }
    }
    long_holds_ = on;
    long_holds_end_ = latest_end;
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
                 record_skipped_items(core_, "load records", items);
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
    std::set<std::pair<std::string_view, std::uint64_t>> owners;
    if (const auto map = core_.state.keys.find(name); map != core_.state.keys.end()) {
        for (const auto& segment : map->second.segments) {
            owners.emplace(segment.owner, segment.owner_instance);
        }
    }
    std::vector<key_candidate> warm;
    std::vector<key_candidate> cold;
    for (const auto* target : targets_of(core_.state, name)) {
        const auto& entry = target->entry;
        if (!can_send_to(core_.state, *target, now) || is_unresponsive(entry.id, now) ||
            has_moved(entry.id)) {
            continue;
        }
        const key_candidate candidate{entry.id, entry.started_unix_ms,
                                      capacity_of(core_.state, *target)};
        // An owner that has turned cold keeps its keys: moving them would make more targets slow.
        const bool owns = owners.contains({entry.id, entry.started_unix_ms});
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
    renew(now);
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
}

}  // namespace mimosavalve::gateway
