#include "leader_model.hpp"

#include <fcntl.h>

namespace mimosavalve::gateway::testing {

namespace {

constexpr milliseconds store_lease_time{1200};
constexpr milliseconds lease_margin{150};
constexpr milliseconds lease_renewal_interval{350};
constexpr milliseconds grant_interval{600};
constexpr milliseconds normal_hold{2400};
// Time without an answer after which a router takes the store for lost.
constexpr milliseconds store_timeout{300};
constexpr milliseconds follower_lifetime{1500};
constexpr milliseconds max_hold{10000};

int null_device() {
    static const int descriptor = open("/dev/null", O_WRONLY | O_CLOEXEC);
    return descriptor;
}

std::string domain_name(int region, int number) {
    return "domain-" + std::to_string(region) + "-" + std::to_string(number);
}

}  // namespace

model_router::model_router(const std::string& host, const std::string& failure_domain,
                           const region_map& regions, std::uint64_t instance)
    : log(null_device()),
      core(context, {}, log),
      lease(
          core, fleet, calls,
          [this](boot_time now) {
              evidence_by_host evidence(followers.begin(), followers.end());
              evidence[core.settings.host] = {fleet.instance,
                                              now,
                                              fleet.store_responsive ? boot_time{} : now,
                                              lease.wants_long_holds() ? now : boot_time{},
                                              fleet.long_holds_reported_at,
                                              core.settings.failure_domain};
              return evidence;
          },
          [this](boot_time now) {
              router_instances recent;
              for (const auto& [follower, evidence] : followers) {
                  if (now - called_at.at(follower) < follower_lifetime) {
                      recent.emplace(follower, evidence.instance);
                  }
              }
              return recent;
          }) {
    core.settings.host = host;
    core.settings.failure_domain = failure_domain;
    core.settings.bounds.max_hold = max_hold;
    core.state.regions = regions;
    fleet.instance = instance;
}

leader_model::leader_model(int router_count, int region_count) : region_count_(region_count) {
    for (int region = 0; region < region_count; ++region) {
        for (int number = 0; number < 2; ++number) {
            regions_[domain_name(region, number)] = "region-" + std::to_string(region);
        }
    }
    for (int number = 0; number < router_count; ++number) {
        const auto host = "h" + std::to_string(next_host_++);
        hosts_[host].failure_domain = domain_name(number % region_count, number / region_count % 2);
        start(host);
    }
}

std::vector<std::string> leader_model::hosts() const {
    std::vector<std::string> names;
    for (const auto& [host, state] : hosts_) {
        names.push_back(host);
    }
    return names;
}

std::string leader_model::leader() const {
    for (const auto& [host, state] : hosts_) {
        if (state.router && state.router->fleet.leading) {
            return host;
        }
    }
    return "";
}

bool leader_model::owner_serves() const {
    const auto held = held_until_.find(owner_);
    return !lost_targets_.contains(owner_) && held != held_until_.end() && held->second > now;
}

int leader_model::region_of_host(const std::string& host) const {
    const auto& region = regions_.at(hosts_.at(host).failure_domain);
    return std::stoi(region.substr(region.rfind('-') + 1));
}

// The store is in the first region.
bool leader_model::reaches_store(const std::string& host) const {
    const auto& state = hosts_.at(host);
    const auto region = region_of_host(host);
    const auto is_cut = [&](int number) {
        const auto cut = cut_regions_.find(number);
        return cut != cut_regions_.end() && cut->second > now;
    };
    return now >= store_lost_until_ && now >= state.cut_until &&
           now >= state.cut_from_store_until && (region == 0 || (!is_cut(region) && !is_cut(0)));
}

bool leader_model::connects(const std::string& from, const std::string& to) const {
    if (from == to) {
        return true;
    }
    const auto& one = hosts_.at(from);
    const auto& other = hosts_.at(to);
    if (now < one.cut_until || now < other.cut_until) {
        return false;
    }
    const auto region = region_of_host(from);
    const auto other_region = region_of_host(to);
    return region == other_region ||
           std::none_of(cut_regions_.begin(), cut_regions_.end(), [&](const auto& cut) {
               return cut.second > now && (cut.first == region || cut.first == other_region);
           });
}

bool leader_model::is_registered(int target) const {
    const auto hidden = hidden_until_.find(target);
    return !lost_targets_.contains(target) &&
           (hidden == hidden_until_.end() || hidden->second <= now);
}

void leader_model::start(const std::string& host) {
    auto& state = hosts_.at(host);
    state.router =
        std::make_unique<model_router>(host, state.failure_domain, regions_, next_instance_++);
    auto& router = *state.router;
    router.core.now = [this] { return now; };
    router.core.platform.keys.fleet = "own/";
    for (int target = 0; target < target_count; ++target) {
        router.registered.insert(target);
    }
    router.core.platform.store.read = [this, host](const std::string&, call_deadline,
                                                   const metadata_store::item_handler& done) {
        if (!reaches_store(host)) {
            done(make_error_code(errc::store_unavailable), {}, 0);
        } else if (record_revision_ == 0) {
            done(make_error_code(errc::not_found), {}, revision_);
        } else {
            done({}, {"own/routers", record_, record_revision_, record_revision_, 0}, revision_);
        }
    };
    router.core.platform.store.write = [this, host](const store_batch& batch, call_deadline,
                                                    const metadata_store::number_handler& done) {
        if (!reaches_store(host)) {
            done(make_error_code(errc::store_unavailable), 0);
            return;
        }
        for (const auto& condition : batch.conditions) {
            const auto current =
                condition.key == "own/leader" ? leader_item_.epoch : record_revision_;
            if (condition.revision != current) {
                done(make_error_code(errc::store_conflict), 0);
                return;
            }
        }
        record_ = batch.writes.front().value;
        record_revision_ = ++revision_;
        constexpr unsigned lost_answers = 10;
        if (random() % lost_answers == 0) {
            done(make_error_code(errc::store_unavailable), 0);
        } else {
            done({}, record_revision_);
        }
    };
}

void leader_model::kill(const std::string& host, milliseconds pause) {
    hosts_.at(host).router.reset();
    hosts_.at(host).starts_at = now + pause;
}

void leader_model::replace(const std::string& host, milliseconds pause) {
    const auto failure_domain = hosts_.at(host).failure_domain;
    hosts_.erase(host);
    auto& state = hosts_["h" + std::to_string(next_host_++)];
    state.failure_domain = failure_domain;
    state.starts_at = now + pause;
}

void leader_model::stop(const std::string& host, milliseconds grace, milliseconds pause) {
    auto& state = hosts_.at(host);
    if (state.router) {
        state.router->fleet.stopping = true;
        state.router->ends_at = now + grace;
        state.starts_at = now + grace + pause;
    }
}

void leader_model::freeze(const std::string& host, milliseconds time) {
    if (hosts_.at(host).router) {
        hosts_.at(host).router->frozen_until = now + time;
    }
}

void leader_model::lose_store(milliseconds time, bool leases_pause) {
    const auto before = std::max(store_lost_until_, now);
    store_lost_until_ = std::max(before, now + time);
    if (leases_pause) {
        leader_lease_end_ += store_lost_until_ - before;
    }
}

void leader_model::cut_from_store(const std::string& host, milliseconds time) {
    hosts_.at(host).cut_from_store_until = now + time;
}

void leader_model::cut_host(const std::string& host, milliseconds time) {
    hosts_.at(host).cut_until = now + time;
}

void leader_model::cut_region(int region, milliseconds time) {
    cut_regions_[region] = now + time;
}

void leader_model::hide_target(int target, milliseconds time) {
    hidden_until_[target] = now + time;
}

void leader_model::heal() {
    store_lost_until_ = now;
    leader_lease_end_ = std::min(leader_lease_end_, now + store_lease_time);
    cut_regions_.clear();
    hidden_until_.clear();
    for (auto& [host, state] : hosts_) {
        state.cut_until = now;
        state.cut_from_store_until = now;
        if (state.router) {
            state.router->frozen_until = now;
        }
    }
}

void leader_model::advance_time(milliseconds time) {
    for (const auto end = now + time; now < end; now += step) {
        if (leader_item_.epoch != 0 && now >= leader_lease_end_) {
            leader_item_ = {};
        }
        auto order = hosts();
        std::shuffle(order.begin(), order.end(), random);
        for (const auto& host : order) {
            auto& state = hosts_.at(host);
            if (!state.router && now >= state.starts_at) {
                start(host);
            }
            if (state.router && now >= state.router->ends_at) {
                state.router.reset();
            }
            if (state.router && now >= state.router->frozen_until) {
                run(host, *state.router);
            }
        }
    }
}

void leader_model::run(const std::string& host, model_router& router) {
    if (reaches_store(host)) {
        router.store_missed_at = {};
        for (int target = 0; target < target_count; ++target) {
            if (is_registered(target)) {
                router.registered.insert(target);
            } else {
                router.registered.erase(target);
            }
        }
        if (leader_item_.epoch > router.fleet.newest_epoch) {
            router.fleet.newest_epoch = leader_item_.epoch;
            router.fleet.leader = leader_item_;
            router.fleet.leading = false;
        }
    } else if (router.store_missed_at == boot_time{}) {
        router.store_missed_at = now;
    }
    router.fleet.store_responsive =
        router.store_missed_at == boot_time{} || now - router.store_missed_at < store_timeout;
    if (router.fleet.leading) {
        lead(host, router);
    } else if (!router.fleet.stopping) {
        follow(host, router);
        stand_for_election(host, router);
    }
}

void leader_model::follow(const std::string& host, model_router& router) {
    const auto& leader = router.fleet.leader;
    const auto found = hosts_.find(leader.host);
    if (leader.epoch == 0 || found == hosts_.end() || !found->second.router ||
        !connects(host, leader.host)) {
        return;
    }
    auto& to = *found->second.router;
    if (now < to.frozen_until || !to.fleet.leading || to.fleet.leader.epoch != leader.epoch) {
        return;
    }
    // A call and its reply, without delay.
    auto& evidence = to.followers[host];
    const bool is_same = evidence.instance == router.fleet.instance;
    const auto sent_after = is_same ? to.called_at[host] : boot_time{};
    if (!is_same) {
        evidence = {};
    }
    evidence.instance = router.fleet.instance;
    evidence.failure_domain = router.core.settings.failure_domain;
    evidence.followed_at = sent_after;
    evidence.store_lost_at = router.fleet.store_responsive ? boot_time{} : sent_after;
    if (router.knows_long_holds) {
        router.fleet.long_holds_reported_at = now;
        evidence.long_holds_known_at = now;
    }
    evidence.long_holds_reported_at = router.fleet.long_holds_reported_at;
    to.called_at[host] = now;
    router.knows_long_holds = to.lease.wants_long_holds();
}

void leader_model::announce(const std::string& host, const model_router& router) {
    const auto record = decode_router_record(record_);
    if (!record) {
        return;
    }
    for (const auto& [name, instance] : record->instances) {
        const auto to = hosts_.find(name);
        if (to == hosts_.end() || !to->second.router || !connects(host, name) ||
            now < to->second.router->frozen_until) {
            continue;
        }
        auto& receiver = *to->second.router;
        if (router.fleet.leader.epoch > receiver.fleet.newest_epoch) {
            receiver.fleet.newest_epoch = router.fleet.leader.epoch;
            receiver.fleet.leader = router.fleet.leader;
            receiver.fleet.leading = false;
            receiver.knows_long_holds = false;
        }
    }
}

void leader_model::stand_for_election(const std::string& host, model_router& router) {
    constexpr unsigned candidates_each_step = 4;
    if (!reaches_store(host) || leader_item_.epoch != 0 || random() % candidates_each_step != 0) {
        return;
    }
    leader_item_ = {host, "", router.fleet.instance, ++revision_, std::nullopt};
    leader_lease_end_ = now + store_lease_time;
    router.fleet.leader = leader_item_;
    router.fleet.newest_epoch = leader_item_.epoch;
    router.fleet.leading = true;
    router.lease_until = now + store_lease_time - lease_margin;
    router.next_renewal = now + lease_renewal_interval;
    router.next_grant = now;
    router.followers.clear();
    router.called_at.clear();
    router.own_holds.clear();
    router.lease.begin();
}

void leader_model::lead(const std::string& host, model_router& router) {
    if (router.fleet.stopping && reaches_store(host)) {
        leader_item_ = {};
        router.fleet.leading = false;
        return;
    }
    if (now >= router.next_renewal && reaches_store(host)) {
        if (leader_item_.epoch != router.fleet.leader.epoch) {
            router.fleet.leading = false;
            return;
        }
        router.next_renewal = now + lease_renewal_interval;
        leader_lease_end_ = now + store_lease_time;
        router.lease_until = now + store_lease_time - lease_margin;
    }
    router.lease.tick(now, router.lease_until);
    if (!router.lease.inherited_end()) {
        announce(host, router);
    }
    if (now < router.lease.valid_until()) {
        grant(router);
    }
}

// Renews the keys of the recorded owner, or moves them from one without an entry.
void leader_model::grant(model_router& router) {
    const auto owner = owner_;
    const bool may_move = !router.registered.contains(owner) && router.lease.inherited_end() &&
                          now >= *router.lease.inherited_end() && now >= router.own_holds[owner] &&
                          reaches_store(router.core.settings.host) &&
                          leader_item_.epoch == router.fleet.leader.epoch &&
                          !router.registered.empty();
    if (may_move) {
        owner_ = *router.registered.begin();
        for (const auto& [target, until] : held_until_) {
            if (target != owner_ && until > now && !lost_targets_.contains(target)) {
                violations.push_back("target " + std::to_string(target) + " holds the keys for " +
                                     std::to_string(milliseconds_until(until, now)) +
                                     " ms while they are granted to another");
            }
        }
        router.next_grant = now;
    }
    if (now < router.next_grant || !router.registered.contains(owner_)) {
        return;
    }
    router.next_grant = now + grant_interval;
    const auto hold = router.lease.may_grant_long_holds()
                          ? std::clamp(max_hold_until(now, router.lease.own_long_holds_end()),
                                       normal_hold, max_hold)
                          : normal_hold;
    held_until_[owner_] = std::max(held_until_[owner_], hold_end(now, hold));
    router.own_holds[owner_] = std::max(router.own_holds[owner_], hold_end(now, hold));
}

}  // namespace mimosavalve::gateway::testing
