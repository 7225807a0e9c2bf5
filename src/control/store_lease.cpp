#include "control/store_lease.hpp"

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

/// Returns the value of the leader key. The lease number distinguishes this attempt from an earlier
/// one of the same process.
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
    auto received = [&self, &entry](std::error_code error, const ports::store_entry& value) {
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
        // The read of an absent key returns at once, so the next one waits for the retry delay.
        state.next_try = at + (state.revision == 0 ? self.settings.intervals.store_retry_delay
                                                   : milliseconds(0));
    };
    const bool is_key_present = watch.revision != 0;
    const auto deadline = now + (is_key_present ? self.settings.intervals.store_watch_timeout
                                                : self.settings.intervals.store_timeout);
    if (is_key_present) {
        self.ports.store.watch(leader_key(entry.id), watch.revision, deadline,
                               guarded(self, received));
    } else {
        self.ports.store.read(leader_key(entry.id), deadline, guarded(self, received));
    }
}

/// Returns the time that this daemon waits after it has seen that the leader key is absent; nothing
/// when it must not lead.
std::optional<steady_time::duration> candidate_delay(const control_state& self,
                                                     const shard_entry& entry) {
    // Hosts without a rank are spread over this number of delays by a hash, so that few try at
    // once.
    constexpr std::uint64_t position_count = 8;
    const auto& intervals = self.settings.intervals;
    if (self.resigning_since) {
        return std::nullopt;
    }
    const auto name = to_string(entry.id) + self.settings.self.host;
    const auto position = static_cast<int>(ownership::hash_of(name) % position_count);
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

void give_up_lease(control_state& self, shard_entry& entry, steady_time now) {
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

void on_key_created(control_state& self, shard_entry& entry) {
    entry.leader->lease.holds_key = true;
    entry.leader->claimed = false;
    entry.leader->revision.reset();
    record_event(self, "store-lease", to_string(self.settings.self), "created the leader key",
                 &entry);
    read_state(self, entry, now_of(self));
}

/// Reads the leader key to find out whether a creation without an answer took effect.
void read_back_key(control_state& self, shard_entry& entry, steady_time now) {
    entry.leader->lease.operation_pending = true;
    auto done = [&self, &entry](std::error_code error, const ports::store_entry& value) {
        auto& lease = entry.leader->lease;
        lease.operation_pending = false;
        lease.next_renewal = now_of(self) + self.settings.intervals.store_retry_delay;
        if (!error && value.value == leader_value(self, lease)) {
            on_key_created(self, entry);
        } else if (!error || error == errc::not_found) {
            give_up_lease(self, entry, now_of(self));
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
            on_key_created(self, entry);
        } else if (error == errc::store_unavailable) {
            read_back_key(self, entry, now_of(self));
        } else {
            give_up_lease(self, entry, now_of(self));
        }
    };
    self.ports.store.compare_and_swap(leader_key(entry.id), 0, leader_value(self, lease), lease.id,
                                      now + self.settings.intervals.store_timeout,
                                      guarded(self, done));
}

void obtain_lease(control_state& self, shard_entry& entry, steady_time now) {
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
            record_event(self, "store-lease", to_string(self.settings.self),
                         "the store did not renew the lease", &entry);
            give_up_lease(self, entry, now_of(self));
        }
    };
    self.ports.store.renew_lease(lease.id, now + self.settings.intervals.store_timeout,
                                 guarded(self, done));
}

/// Whether the store lease may be revoked. The lease is kept until all confirmations
/// that counted the store's vote have ended.
bool can_revoke_lease(const control_state& self, steady_time now) {
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
    const bool can_vote = entry.leader && entry.leader->lease.holds_key && entry.leader->claimed &&
                          !self.resigning_since && entry.state &&
                          entry.state->leader == self.settings.self;
    return can_vote ? entry.leader->lease.until : steady_time{};
}

void tick_store_lease(control_state& self, shard_entry& entry, steady_time now) {
    auto& leader = *entry.leader;
    auto& lease = leader.lease;
    if (lease.operation_pending) {
        return;
    }
    if (lease.id != 0) {
        if (can_revoke_lease(self, now) && !leader.write) {
            record_event(self, "store-lease", to_string(self.settings.self), "gives up leadership",
                         &entry);
            give_up_lease(self, entry, now);
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
        obtain_lease(self, entry, now);
    }
}

}  // namespace mimosavalve::control::detail
