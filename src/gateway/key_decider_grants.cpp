// Grants and renewals, and what their answers show of targets and of the network to them.

#include <algorithm>
#include <set>

#include "control_timing.hpp"
#include "key_decider.hpp"
#include "mimosavalve/core/error.hpp"

namespace mimosavalve::gateway {

namespace detail {

constexpr milliseconds renewal_interval{600};
// A target answers a grant at once, but a saturated inter-region link delays it by hundreds of
// milliseconds.
constexpr milliseconds grant_timeout{800};
// A renewal is sent again after this time, even while the call is in flight: its answer may be
// lost, and a hold is short.
constexpr milliseconds renewal_retry_interval{300};
// A target is unresponsive when this many consecutive grants had no answer and it has answered
// neither a grant nor a request for this time; it then gets no keys, and its keys move to other
// targets. Single answers are lost occasionally, also those for several ranges at once, so the
// number of failures is not enough.
constexpr std::uint32_t failures_until_unresponsive = 2;
constexpr milliseconds silence_until_unresponsive{1200};
// Unless the region's network is sound, the network may be the reason for the silence, for as much
// longer as it may delay a grant.
constexpr milliseconds silence_by_congestion = congested_transit_time - sound_transit_time;

}  // namespace detail

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

void key_decider::send_grant(const key_segment& keys, const std::string& handover, boot_time now,
                             std::function<void(std::error_code)> done) {
    auto& to = holds_of(keys.owner);
    const auto hold = hold_time(now);
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
        const auto is_outdated = [&](const auto& known) {
            return segment_of(map->second, known.first).first != known.first;
        };
        std::erase_if(state.renewals, is_outdated);
        std::erase_if(state.reports, is_outdated);
        for (const auto& segment : map->second.segments) {
            if (segment.owner.empty() || segment.moving) {
                continue;
            }
            const auto entry = core_.state.registry.targets.find(segment.owner);
            const bool is_unregistered = entry == core_.state.registry.targets.end() ||
                                         entry->second.started_unix_ms != segment.owner_instance;
            auto& renewals = state.renewals[segment.first];
            if (!is_unregistered && now >= renewals.next && !has_moved(segment.owner)) {
                renewals.next = now + detail::renewal_retry_interval;
                renewals.sent_at = now;
                grants.push_back({name, segment});
            }
        }
    }
    for (const auto& grant : grants) {
        send_grant(grant.keys, "", now, [this, grant, now](std::error_code error) {
            if (error == errc::target_refused) {
                assign_new_fence(grant.service, grant.keys);
            } else if (!error) {
                auto& renewals = services_[grant.service].renewals[grant.keys.first];
                renewals.next = std::max(renewals.next, now + detail::renewal_interval);
                renewals.succeeded = core_.now();
            }
        });
    }
}

}  // namespace mimosavalve::gateway
