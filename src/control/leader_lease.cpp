#include "control/leader_lease.hpp"

#include <algorithm>

#include "control/leader_role.hpp"
#include "control/shard_write.hpp"
#include "mimosavalve/control/membership.hpp"
#include "mimosavalve/core/error.hpp"
#include "mimosavalve/ownership/slot.hpp"

namespace mimosavalve::control::detail {

namespace {

std::string leader_key(const shard_id& shard) {
    return "leaders/" + to_string(shard);
}

/// The lease number tells this attempt from an earlier one of the same process.
std::string leader_value(const control_state& self, const store_lease& lease) {
    return to_string(self.settings.self) + " " + self.settings.address + " " +
           std::to_string(lease.id);
}

void watch_leader_key(control_state& self, shard_entry& entry, steady_time now) {
    auto& watch = entry.leader->watch;
    if (watch.operation_pending || now < watch.next_try) {
        return;
    }
    watch.operation_pending = true;
    auto seen = [&self, &entry](std::error_code error, const ports::store_entry& value) {
        auto& state = entry.leader->watch;
        const auto at = now_of(self);
        state.operation_pending = false;
        if (error && error != errc::not_found) {
            state.next_try = at + self.settings.intervals.store_retry_delay;
            return;
        }
        state.revision = error ? 0 : value.revision;
        if (state.revision != 0) {
            state.absent_since.reset();
        } else if (!state.absent_since) {
            state.absent_since = at;
        }
        // A key that is absent already answers at once; it is looked at again after an attempt.
        state.next_try = at + (state.revision == 0 ? self.settings.intervals.store_retry_delay
                                                   : milliseconds(0));
    };
    const bool know_holder = watch.revision != 0;
    const auto deadline = now + (know_holder ? self.settings.intervals.store_watch_timeout
                                             : self.settings.intervals.store_timeout);
    if (know_holder) {
        self.ports.store.watch(leader_key(entry.id), watch.revision, deadline, guarded(self, seen));
    } else {
        self.ports.store.read(leader_key(entry.id), deadline, guarded(self, seen));
    }
}

/// How long this daemon waits after the leader key is gone; nothing when it must not lead.
std::optional<steady_time::duration> candidate_delay(const control_state& self,
                                                     const shard_entry& entry) {
    constexpr std::uint64_t spread = 8;
    const auto& intervals = self.settings.intervals;
    if (self.resigning_since) {
        return std::nullopt;
    }
    const auto name = to_string(entry.id) + self.settings.self.host;
    const auto position = static_cast<int>(ownership::hash_of(name) % spread);
    if (!entry.state) {
        if (!entry.leader->state_absent) {
            return std::nullopt;
        }
        return intervals.candidate_rank_delay * position;
    }
    if (has_voter(*entry.state, self.settings.self)) {
        const auto rank = leader_rank(entry.id, self.settings.self, entry.state->voters);
        return intervals.candidate_rank_delay * static_cast<int>(rank);
    }
    return intervals.non_voter_candidate_delay + intervals.candidate_rank_delay * position;
}

void give_up(control_state& self, shard_entry& entry, steady_time now) {
    auto& leader = *entry.leader;
    if (leader.lease.id != 0) {
        self.ports.store.revoke_lease(leader.lease.id, now + self.settings.intervals.store_timeout,
                                      guarded(self, [](std::error_code) {}));
    }
    leader.lease = {};
    leader.claimed = false;
    leader.revision.reset();
    leader.watch.revision = 0;
    leader.watch.absent_since.reset();
}

void note_holds_key(control_state& self, shard_entry& entry) {
    entry.leader->lease.holds_key = true;
    entry.leader->claimed = false;
    entry.leader->revision.reset();
    record_event(self, "store-lease", to_string(self.settings.self), "created the leader key",
                 &entry);
    read_state(self, entry, now_of(self));
}

/// Decides whether a creation without an answer took effect.
void read_back_key(control_state& self, shard_entry& entry, steady_time now) {
    entry.leader->lease.operation_pending = true;
    auto done = [&self, &entry](std::error_code error, const ports::store_entry& value) {
        auto& lease = entry.leader->lease;
        lease.operation_pending = false;
        lease.next_renewal = now_of(self) + self.settings.intervals.store_retry_delay;
        if (!error && value.value == leader_value(self, lease)) {
            note_holds_key(self, entry);
        } else if (!error || error == errc::not_found) {
            give_up(self, entry, now_of(self));
        }
    };
    self.ports.store.read(leader_key(entry.id), now + self.settings.intervals.store_timeout,
                          guarded(self, done));
}

void create_key(control_state& self, shard_entry& entry, steady_time now) {
    auto& lease = entry.leader->lease;
    lease.operation_pending = true;
    auto done = [&self, &entry](std::error_code error, std::uint64_t) {
        auto& state = entry.leader->lease;
        state.operation_pending = false;
        if (!error) {
            note_holds_key(self, entry);
        } else if (error == errc::store_unavailable) {
            read_back_key(self, entry, now_of(self));
        } else {
            give_up(self, entry, now_of(self));
        }
    };
    self.ports.store.compare_and_swap(leader_key(entry.id), 0, leader_value(self, lease), lease.id,
                                      now + self.settings.intervals.store_timeout,
                                      guarded(self, done));
}

void start_lease(control_state& self, shard_entry& entry, steady_time now) {
    auto& lease = entry.leader->lease;
    lease.operation_pending = true;
    auto done = [&self, &entry, sent = now](std::error_code error, std::uint64_t id) {
        const auto& intervals = self.settings.intervals;
        auto& state = entry.leader->lease;
        state.operation_pending = false;
        if (error) {
            entry.leader->watch.next_try = now_of(self) + intervals.store_retry_delay;
            entry.leader->watch.absent_since.reset();
            return;
        }
        state.id = id;
        state.until = sent + shortened(intervals.store_lease_ttl, intervals);
        state.next_renewal = sent + intervals.store_lease_renewal_interval;
        create_key(self, entry, now_of(self));
    };
    const auto& intervals = self.settings.intervals;
    self.ports.store.grant_lease(intervals.store_lease_ttl, now + intervals.store_timeout,
                                 guarded(self, done));
}

void renew_lease(control_state& self, shard_entry& entry, steady_time now) {
    auto& lease = entry.leader->lease;
    lease.operation_pending = true;
    auto done = [&self, &entry, sent = now](std::error_code error) {
        const auto& intervals = self.settings.intervals;
        auto& state = entry.leader->lease;
        state.operation_pending = false;
        if (!error) {
            state.until =
                std::max(state.until, sent + shortened(intervals.store_lease_ttl, intervals));
            state.next_renewal = sent + intervals.store_lease_renewal_interval;
        } else if (error == errc::store_unavailable) {
            state.next_renewal = now_of(self) + intervals.store_retry_delay;
        } else {
            record_event(self, "store-lease", to_string(self.settings.self), "the lease has lapsed",
                         &entry);
            give_up(self, entry, now_of(self));
        }
    };
    self.ports.store.renew_lease(lease.id, now + self.settings.intervals.store_timeout,
                                 guarded(self, done));
}

/// The store's vote is given back only after every confirmation that counted it has ended.
bool may_release(const control_state& self, steady_time now) {
    const auto& intervals = self.settings.intervals;
    return self.resigning_since &&
           now >= *self.resigning_since + lengthened(intervals.lease_window, intervals);
}

}  // namespace

bool has_store_lease(const shard_entry& entry, steady_time now) {
    if (!entry.leader || !entry.leader->lease.holds_key) {
        return false;
    }
#ifdef MV_WITHOUT_LEASE_CHECK
    (void)now;
    return true;
#else
    return now < entry.leader->lease.until;
#endif
}

steady_time store_vote_until(const control_state& self, const shard_entry& entry) {
    const bool may_vote = entry.leader && entry.leader->lease.holds_key && entry.leader->claimed &&
                          !self.resigning_since && entry.state &&
                          entry.state->leader == self.settings.self;
    return may_vote ? entry.leader->lease.until : steady_time{};
}

void tick_store_lease(control_state& self, shard_entry& entry, steady_time now) {
    auto& leader = *entry.leader;
    auto& lease = leader.lease;
    if (lease.operation_pending) {
        return;
    }
    if (lease.id != 0) {
        if (may_release(self, now) && !leader.write) {
            record_event(self, "store-lease", to_string(self.settings.self), "hands leadership on",
                         &entry);
            give_up(self, entry, now);
        } else if (now < lease.next_renewal) {
            return;
        } else if (lease.holds_key) {
            renew_lease(self, entry, now);
        } else {
            read_back_key(self, entry, now);
        }
        return;
    }
    watch_leader_key(self, entry, now);
    const auto delay = candidate_delay(self, entry);
    if (delay && leader.watch.absent_since && now >= *leader.watch.absent_since + *delay) {
        leader.watch.absent_since.reset();
        start_lease(self, entry, now);
    }
}

}  // namespace mimosavalve::control::detail
