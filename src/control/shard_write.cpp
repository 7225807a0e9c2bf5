#include "control/shard_write.hpp"

#include <algorithm>

#include "control/leader_role.hpp"
#include "control/router_role.hpp"
#include "control/store_lease.hpp"
#include "mimosavalve/core/error.hpp"

namespace mimosavalve::control::detail {

namespace {

std::string state_key(const shard_id& shard) {
    return "shards/" + to_string(shard);
}

ownership::shard_state first_state(const control_state& self, const shard_id& shard) {
    ownership::shard_state state;
    state.shard = shard;
    state.voters.push_back(
        {self.settings.self, self.settings.failure_domain, self.settings.address});
    state.store_weight = 1;
    return state;
}

/// Writes the held state, or a first one, under the next epoch, so that no write of an earlier
/// leader can take effect any more.
void begin_claim(control_state& self, shard_entry& entry, steady_time now) {
    auto next = entry.state ? *entry.state : first_state(self, entry.id);
#ifdef MV_WITHOUT_EPOCH_CLAIM
    next.at.sequence += 1;
#else
    next.at = {next.at.epoch + 1, 1};
#endif
    next.leader = self.settings.self;
    next.leader_address = self.settings.address;
    event claimed;
    claimed.kind = "claim-epoch";
    claimed.subject = to_string(self.settings.self);
    claimed.cause = "holds the leader key";
    begin_write(self, entry, std::move(next), {}, {claimed}, now);
}

/// Decodes a state that was read from the store and adopts it when it is newer than the held one.
void adopt_stored_state(control_state& self, shard_entry& entry, const ports::store_entry& value,
                        steady_time now) {
    std::error_code error;
    auto state = ownership::decode_shard_state(value.value, error);
    // The next claim replaces an invalid value by the held state, or by a first one.
    if (!state || state->shard != entry.id) {
        record_event(self, "store-fault", state_key(entry.id),
                     "the value is not a valid shard state", &entry);
        return;
    }
    entry.leader->state_absent = false;
    adopt_state(self, entry, std::make_shared<const ownership::shard_state>(std::move(*state)),
                now);
}

/// Adopts the state of a write that has taken effect; from here on it may be sent to routers.
void finish_write(control_state& self, shard_entry& entry, std::uint64_t revision,
                  steady_time now) {
    auto& leader = *entry.leader;
    const auto write = std::move(*leader.write);
    leader.write.reset();
    leader.revision = revision;
    // If the write was sent under another lease than the current one, a different leader may have
    // acted between the two leases.
    leader.claimed = leader.lease.holds_key && leader.lease.id == write.lease;
    for (const auto& target : write.lost_targets) {
        record_loss(leader.losses, target, now, self.settings.intervals);
        leader.reported_targets.erase(target);
    }
    adopt_state(self, entry, write.state, now);
    for (const auto& change : write.changes) {
        record_event(self, change.kind, change.subject, change.cause, &entry);
    }
    advance_leader(self, entry, now);
}

/// Discards a write that did not take effect, and adopts the state that the store holds instead.
void discard_write(control_state& self, shard_entry& entry, const ports::store_entry& value,
                   steady_time now) {
    auto& leader = *entry.leader;
    leader.write.reset();
    leader.revision = value.revision;
    if (value.revision == 0) {
        return;
    }
    adopt_stored_state(self, entry, value, now);
    const bool is_led_by_self = entry.state && entry.state->leader == self.settings.self;
    if (!is_led_by_self) {
        leader.claimed = false;
    }
}

bool is_same_write(const ownership::shard_state& written, const ports::store_entry& value) {
    std::error_code error;
    const auto found = ownership::decode_shard_state(value.value, error);
    return found && found->at == written.at && found->leader == written.leader &&
           found->write_nonce == written.write_nonce;
}

/// Reads the state to find out whether the pending write took effect.
void read_back(control_state& self, shard_entry& entry, steady_time now) {
    entry.leader->write->operation_pending = true;
    auto done = [&self, &entry](std::error_code error, const ports::store_entry& value) {
        const auto at = now_of(self);
        auto& leader = *entry.leader;
        if (!leader.write) {
            return;
        }
        leader.write->operation_pending = false;
        if (error == errc::not_found) {
            discard_write(self, entry, {}, at);
        } else if (error) {
            leader.write->next_try = at + self.settings.intervals.store_retry_delay;
        } else if (is_same_write(*leader.write->state, value)) {
            finish_write(self, entry, value.revision, at);
        } else {
            discard_write(self, entry, value, at);
        }
    };
    self.ports.store.read(state_key(entry.id), now + self.settings.intervals.store_timeout,
                          guarded(self, done));
}

void send_write(control_state& self, shard_entry& entry, steady_time now) {
    auto& leader = *entry.leader;
    leader.write->operation_pending = true;
    auto done = [&self, &entry](std::error_code error, std::uint64_t revision) {
        const auto at = now_of(self);
        if (!entry.leader->write) {
            return;
        }
        entry.leader->write->operation_pending = false;
        if (!error) {
            finish_write(self, entry, revision, at);
            return;
        }
#ifdef MV_WITHOUT_EPOCH_CLAIM
        // Lets the next write replace the state that another leader has written.
        entry.leader->revision.reset();
        entry.leader->write.reset();
        return;
#else
        // The state is read after a conflict as well: an earlier write of this process may have
        // arrived late.
        read_back(self, entry, at);
#endif
    };
    const auto deadline = std::min(now + self.settings.intervals.store_timeout, leader.lease.until);
    self.ports.store.compare_and_swap(state_key(entry.id), leader.revision.value_or(0),
                                      ownership::encode(*leader.write->state), 0, deadline,
                                      guarded(self, done));
}

}  // namespace

void read_state(control_state& self, shard_entry& entry, steady_time now) {
    auto& leader = *entry.leader;
    if (leader.reading_state || leader.write) {
        return;
    }
    leader.reading_state = true;
    leader.next_read = now + self.settings.intervals.store_retry_delay;
    auto done = [&self, &entry](std::error_code error, const ports::store_entry& value) {
        auto& state = *entry.leader;
        const auto at = now_of(self);
        state.reading_state = false;
        state.next_read = at + self.settings.intervals.store_retry_delay;
        if (error && error != errc::not_found) {
            return;
        }
        const bool absent = static_cast<bool>(error);
        state.state_absent = absent;
#ifdef MV_WITHOUT_EPOCH_CLAIM
        const bool should_adopt = !absent && !state.lease.holds_key;
#else
        const bool should_adopt = !absent;
#endif
        if (should_adopt) {
            adopt_stored_state(self, entry, value, at);
        }
        if (state.lease.holds_key) {
            state.revision = absent ? 0 : value.revision;
            tick_shard_write(self, entry, at);
        }
    };
    self.ports.store.read(state_key(entry.id), now + self.settings.intervals.store_timeout,
                          guarded(self, done));
}

void begin_write(control_state& self, shard_entry& entry, ownership::shard_state next,
                 std::vector<std::string> lost_targets, std::vector<event> changes,
                 steady_time now) {
    if (!has_store_lease(entry, now)) {
        return;
    }
    next.write_nonce = self.random();
    state_write write;
    write.state = std::make_shared<const ownership::shard_state>(std::move(next));
    write.lease = entry.leader->lease.id;
    write.lost_targets = std::move(lost_targets);
    write.changes = std::move(changes);
    entry.leader->write = std::move(write);
    send_write(self, entry, now);
}

void tick_shard_write(control_state& self, shard_entry& entry, steady_time now) {
    auto& leader = *entry.leader;
    if (leader.write) {
        if (!leader.write->operation_pending && now >= leader.write->next_try) {
            read_back(self, entry, now);
        }
        return;
    }
    const bool needs_read = leader.lease.holds_key ? !leader.revision : !entry.state;
    if (needs_read && !leader.reading_state && now >= leader.next_read) {
        read_state(self, entry, now);
        return;
    }
    if (has_store_lease(entry, now) && leader.revision && !leader.claimed &&
        !self.resigning_since) {
        begin_claim(self, entry, now);
    }
}

}  // namespace mimosavalve::control::detail
