// Moves of keys: planning, release by the old owner, record in the store, grant to the new owner.

#include <algorithm>

#include "control_timing.hpp"
#include "key_decider.hpp"
#include "key_decider_detail.hpp"
#include "mimosavalve/core/error.hpp"
#include "mimosavalve/gateway/peer_messages.hpp"
#include "utf8.hpp"

namespace mimosavalve::gateway {

namespace detail {

constexpr milliseconds release_timeout{1500};
constexpr milliseconds retry_interval{200};
// The first owners are chosen when the set of targets has not changed for `settling_time`, or at
// the latest `max_settling_time` after the term began.
constexpr milliseconds settling_time{700};
constexpr milliseconds max_settling_time{4000};
// Interval between plans, so that the rates show the effect of the last one.
constexpr milliseconds plan_interval{250};
constexpr std::size_t moves_per_plan = 6;
constexpr std::size_t merges_per_plan = 2;
constexpr std::uint32_t max_grant_attempts = 4;

}  // namespace detail

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
                            !is_unresponsive(old.owner, now) && !has_moved(old.owner);
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
    // A grant that arrives after the release would give the keys back to the old owner. At the
    // address of a target that has moved, another one would answer.
    if (from.address.empty() || has_moved(move.old_owner) || has_grant_in_flight(from, move.keys)) {
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
                if (error) {
                    core_.log.write("release_failed", {{"service", service},
                                                       {"target", released.old_owner},
                                                       {"error", error.message()}});
                }
                // The hold may have ended while the owner did not answer.
                if (error || released.phase != move_phase::releasing) {
                    continue;
                }
                released.released = true;
                keep_handover(released, handover);
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

void key_decider::keep_handover(running_move& move, std::string_view handover) {
    if (is_utf8(handover)) {
        move.handover = handover;
        return;
    }
    // A grant carries it in a JSON body. Without it the new owner works, only slower at first.
    drop_handover(move, "not UTF-8");
}

void key_decider::drop_handover(running_move& move, std::string_view problem) {
    move.handover.clear();
    count(core_.metrics, "handovers_rejected");
    core_.log.write_always("handover_rejected", {{"service", move.service},
                                                 {"from", move.old_owner},
                                                 {"to", move.keys.owner},
                                                 {"first", std::int64_t{move.keys.first}},
                                                 {"last", std::int64_t{move.keys.last}},
                                                 {"problem", problem}});
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
                       if (error == errc::malformed_message && !moved.handover.empty()) {
                           drop_handover(moved, "rejected by the new owner");
                       }
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

}  // namespace mimosavalve::gateway
