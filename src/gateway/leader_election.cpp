#include "leader_election.hpp"

#include <random>

#include "control_timing.hpp"
#include "mimosavalve/core/error.hpp"
#include "mimosavalve/gateway/leader_term.hpp"

namespace mimosavalve::gateway {

namespace detail {

constexpr milliseconds lease_renewal_interval{350};
// The leader stops acting this long before the store may end its lease.
constexpr milliseconds lease_margin{150};
// Candidates wait for a random fraction of this time, so that usually only one of them writes.
constexpr milliseconds max_election_delay{120};
// Minimum time between candidacies; in this time the watch reports the new leader.
constexpr milliseconds candidacy_interval{600};

// After the store has come back older, other candidates wait this much longer than the leader,
// which notices it at its next renewal of the lease.
constexpr milliseconds leader_first_delay{500};

milliseconds random_delay() {
    static std::minstd_rand source{std::random_device{}()};
    return milliseconds(
        std::uniform_int_distribution<std::int64_t>(0, max_election_delay.count())(source));
}

}  // namespace detail

leader_election::leader_election(router_core& core, fleet_state& fleet, callbacks handlers)
    : core_(core),
      fleet_(fleet),
      handlers_(std::move(handlers)),
      follower_(
          core, fleet, "leader",
          {[this](const store_items& items) {
               on_item(items.items.empty() ? store_item{} : items.items.front(), items.revision);
           },
           [this](const store_items& items) { on_item(items.items.back(), items.revision); }}) {}

void leader_election::start() {
    follower_.start(key());
}

void leader_election::tick(boot_time now) {
    if (fleet_.leading && has_new_era()) {
        stand_again(now);
    } else if (fleet_.leading) {
        renew_lease(now);
    }
    if ((fleet_.leader.epoch == 0 || vacancy_) && follower_.revision() != 0) {
        start_candidacy();
    }
}

milliseconds leader_election::lease_time() const {
    return detail::leader_lease_time(core_.settings.min_lease);
}

void leader_election::on_item(const store_item& item, std::uint64_t store_revision) {
    record_store_era(core_, fleet_, store_revision);
    vacancy_.reset();
    if (item.revision == 0 && fleet_.leader.epoch != 0 && has_new_era()) {
        on_vacancy(0);
        return;
    }
    if (item.revision == 0) {
        if (fleet_.leader.epoch != 0) {
            core_.log.write_always("leader_gone", {{"host", fleet_.leader.host}});
        }
        fleet_.leader = {};
        step_down("lease ended");
        start_candidacy();
        return;
    }
    auto leader = decode_leader_identity(item.value);
    if (!leader) {
        core_.log.write_always("record_unreadable", {{"key", item.key}});
        // An empty leader with the epoch of the item: none can be followed or elected while the
        // unreadable item exists.
        leader.emplace();
    }
    if (is_stale(*leader, item.revision)) {
        core_.log.write_always("leader_stale", {{"host", leader->host}});
        fleet_.store_came_back = true;
        on_vacancy(item.revision);
        return;
    }
    // A candidate may have replaced a stale item, so its creation says nothing.
    leader->epoch = item.revision;
    if (fleet_.leading && leader->instance == fleet_.instance) {
        return;  // The answer to the claim reports it.
    }
    set_leader(*leader);
}

void leader_election::on_vacancy(std::uint64_t revision) {
    // The known leader is followed until the store names another: its term may still be valid.
    vacancy_ = revision;
    start_candidacy();
}

bool leader_election::has_new_era() const {
    return fleet_.store_era.value_or(0) > store_era_of(fleet_.leader.epoch);
}

void leader_election::on_announcement(const leader_identity& leader) {
    // An announcement that was long in transit may be of a leader whose term has ended.
    if (leader.epoch > fleet_.newest_epoch) {
        set_leader(leader);
    }
}

void leader_election::set_leader(const leader_identity& leader) {
    if (leader.epoch < fleet_.newest_epoch) {
        return;
    }
    if (leader.epoch != fleet_.leader.epoch) {
        core_.log.write_always(
            "leader_known",
            {{"host", leader.host}, {"epoch", static_cast<std::int64_t>(leader.epoch)}});
    }
    fleet_.newest_epoch = leader.epoch;
    fleet_.leader = leader;
    vacancy_.reset();
    if (leader.instance != fleet_.instance) {
        step_down("another leader is on record");
    }
    handlers_.leader_changed();
}

void leader_election::start_candidacy() {
    if (is_candidate_ || fleet_.stopping || fleet_.leading || core_.now() < next_candidacy_) {
        return;
    }
    is_candidate_ = true;
    const auto random_delay = detail::random_delay();
    const auto placed = candidacy_delay(
        fleet_.placement, {core_.settings.host, core_.settings.capacity, random_delay},
        fleet_.newest_epoch, core_.now());
    next_candidacy_ = core_.now() + detail::candidacy_interval;
    if (placed > random_delay) {
        next_candidacy_ += placed - random_delay;
        count(core_.metrics, "candidacies_delayed");
    }
    const auto delay = placed + (vacancy_ ? detail::leader_first_delay : milliseconds(0));
    core_.log.write("candidacy", {{"delay_ms", delay.count()},
                                  {"random_ms", random_delay.count()},
                                  {"lag_ms", recent_lag(fleet_.placement.lag).count()}});
    run_after(core_.context, delay, life_, [this] {
        if ((fleet_.leader.epoch != 0 && !vacancy_) || fleet_.stopping) {
            is_candidate_ = false;
        } else {
            open_lease();
        }
    });
}

void leader_election::stand_again(boot_time now) {
    if (is_candidate_ || now < next_candidacy_) {
        return;
    }
    if (fleet_.stopping || resigning_ || now >= handlers_.term_valid_until()) {
        step_down("the store has come back older");
        fleet_.leader = {};
        return;
    }
    is_candidate_ = true;
    // Only a failed attempt is followed by another one.
    next_candidacy_ = now + detail::min_pause;
    core_.platform.store.read(
        key(), detail::deadline_in(detail::store_call_time),
        life_.guard([this](std::error_code error, const store_item& item, std::uint64_t revision) {
            is_candidate_ = false;
            if (!fleet_.leading) {
                return;
            }
            record_store_call(core_, fleet_, !error || error == errc::not_found, "read leader");
            if (!error || error == errc::not_found) {
                record_store_era(core_, fleet_, revision);
                on_own_item(error, item);
            }
        }));
}

void leader_election::on_own_item(std::error_code error, const store_item& item) {
    if (!has_new_era()) {
        step_down("lease ended in the store");
        fleet_.leader = {};
        return;
    }
    const auto leader = error ? std::nullopt : decode_leader_identity(item.value);
    if (error || (leader && is_stale(*leader, item.revision))) {
        vacancy_ = item.revision;
        is_candidate_ = true;
        open_lease();
    } else if (leader && leader->instance == fleet_.instance && item.lease == claimed_lease_) {
        // The answer to the claim was lost.
        begin_term(claimed_lease_, claimed_until_, item.revision);
    } else {
        on_item(item, item.revision);
    }
}

void leader_election::open_lease() {
    const auto until = core_.now() + lease_time() - detail::lease_margin;
    core_.platform.store.grant_lease(
        lease_time(), detail::deadline_in(detail::store_call_time),
        life_.guard([this, until](std::error_code error, std::uint64_t lease) {
            if (error || lease == 0) {
                is_candidate_ = false;
                record_store_call(core_, fleet_, false, "open lease");
                return;
            }
            record_store_era(core_, fleet_, lease);
            claim_leadership(lease, until);
        }));
}

void leader_election::claim_leadership(std::uint64_t lease, boot_time valid_until) {
    const leader_identity own{core_.settings.host, core_.settings.peer_address, fleet_.instance, 0,
                              store_era_of(lease)};
    claimed_lease_ = lease;
    claimed_until_ = valid_until;
    store_batch batch;
    batch.conditions = {{key(), vacancy_.value_or(0)}};
    batch.writes = {{key(), encode(own), lease}};
    core_.platform.store.write(
        batch, detail::deadline_in(detail::store_call_time),
        life_.guard([this, own, lease, valid_until](std::error_code error, std::uint64_t revision) {
            is_candidate_ = false;
            // After an error, the watch reports the leader. If the write took effect all the same,
            // this router does not act as leader, and the lease expires.
            if (!error && !is_stale(own, revision)) {
                begin_term(lease, valid_until, revision);
            }
        }));
}

void leader_election::begin_term(std::uint64_t lease, boot_time valid_until, std::uint64_t epoch) {
    const bool was_leading = fleet_.leading;
    const bool continues = was_leading && core_.now() < handlers_.term_valid_until();
    if (was_leading && !continues) {
        step_down("the store has come back older");
    }
    const auto former_epoch = fleet_.leader.epoch;
    vacancy_.reset();
    lease_ = lease;
    lease_until_ = valid_until;
    next_renewal_ = core_.now() + detail::lease_renewal_interval;
    resigning_ = false;
    fleet_.leading = true;
    fleet_.leader = {core_.settings.host, core_.settings.peer_address, fleet_.instance, epoch,
                     store_era_of(lease)};
    fleet_.newest_epoch = std::max(fleet_.newest_epoch, epoch);
    if (continues) {
        core_.log.write_always("term_continued",
                               {{"epoch", static_cast<std::int64_t>(epoch)},
                                {"former_epoch", static_cast<std::int64_t>(former_epoch)}});
        count(core_.metrics, "terms_continued");
        handlers_.term_continued();
        return;
    }
    core_.log.write_always("leader_began", {{"epoch", static_cast<std::int64_t>(epoch)}});
    count(core_.metrics, "terms_as_leader");
    handlers_.term_began();
}

void leader_election::step_down(std::string_view why) {
    if (!fleet_.leading) {
        return;
    }
    fleet_.leading = false;
    resigning_ = false;
    core_.log.write_always("leader_ended", {{"why", why}});
    handlers_.term_ended();
}

void leader_election::renew_lease(boot_time now) {
    if (now < next_renewal_) {
        return;
    }
    next_renewal_ = now + detail::lease_renewal_interval;
    // Several renewals may be in flight: a slow store answers each of them late, and an answer is
    // useful as long as the lease that it extends has not ended.
    core_.platform.store.renew_lease(
        lease_, detail::deadline_in(lease_time() - detail::lease_margin),
        life_.guard([this, now, lease = lease_](std::error_code error, std::uint64_t) {
            if (!fleet_.leading || lease != lease_) {
                return;
            }
            record_store_call(core_, fleet_, !error || error == errc::store_lease_expired,
                              "keep lease");
            handlers_.renewal_answered(error);
            // `resign` may have revoked the lease after the store handled this renewal.
            if (!error && !fleet_.stopping && !resigning_) {
                lease_until_ = std::max(lease_until_, now + lease_time() - detail::lease_margin);
            } else if (error == errc::store_lease_expired) {
                // Either only the lease has ended, or the store has come back older.
                stand_again(core_.now());
            }
        }));
}

void leader_election::resign(std::string_view why) {
    resigning_ = true;
    core_.platform.store.revoke_lease(
        lease_, detail::deadline_in(detail::store_call_time),
        life_.guard(
            [this, why = std::string(why), lease = lease_](std::error_code error, std::uint64_t) {
                // This router may lead again since then, under another lease.
                if (!fleet_.leading || lease != lease_) {
                    return;
                }
                if (!error || error == errc::store_lease_expired) {
                    step_down(why);
                    return;
                }
                record_store_call(core_, fleet_, false, "end lease");
                // The lease may have ended although the call failed.
                lease_until_ = std::min(lease_until_, core_.now());
                run_after(core_.context, detail::min_pause, life_, [this, why, lease] {
                    if (fleet_.leading && lease == lease_) {
                        resign(why);
                    }
                });
            }));
}

}  // namespace mimosavalve::gateway
