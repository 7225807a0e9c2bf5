// What the leader decides from the routers' reports: quotas, dispatchers, shares of limits,
// crashes.

#include "sync_client.hpp"
#include "sync_server.hpp"
#include "sync_server_detail.hpp"

namespace mimosavalve::gateway {

namespace detail {

// Interval at which the reports are evaluated (quotas and crashes).
constexpr milliseconds evaluation_interval{200};
// Consecutive calls with such a lag after which it is replaced: all that waits there is refused.
constexpr std::uint32_t late_calls_until_replaced = 2;
// Time from the beginning of a term in which all routers call the leader and the demand becomes
// known.
constexpr milliseconds settling_time{2500};
// Until a term is this old, the leader may not have heard of all hosts, and what it knew before
// counts as well.
constexpr milliseconds max_first_call_time{2000};
// Time from which a follower counts as one that calls regularly: about three calls.
constexpr milliseconds min_following_time{1000};

}  // namespace detail

void sync_server::allocate_quotas(boot_time now) {
    next_evaluation_ = now + detail::evaluation_interval;
    expire_demand(demand_, now);
    std::map<std::string, std::string> routers;
    routers.emplace(core_.settings.host, core_.settings.failure_domain);
    for (const auto& [host, router] : followers_) {
        routers.emplace(host, router.failure_domain);
    }
    dispatch_.candidates = dispatch_candidates(now);
    dispatch_.is_settling = now - term_began_ < detail::settling_time;
    const auto before = dispatch_.named;
    // Until all routers have called, they keep the shares of the last leader.
    const bool is_demand_complete = now - term_began_ >= first_calls_time;
    quotas_ = plan_quotas(core_.state, demand_, routers, dispatch_, now, is_demand_complete);
    log_dispatchers(before);
    if (is_demand_complete) {
        announce_overflow(now);
    }
    apply_dispatchers(core_.state.dispatchers, names_of(dispatch_.named));
    core_.state.dispatchers.valid_until = now + dispatch_validity;
    const auto& own = quotas_.concurrency[core_.settings.host];
    core_.state.concurrency_quotas.clear();
    core_.state.concurrency_quotas.insert(own.begin(), own.end());
    apply_rate_quotas(core_.state, quotas_.rates[core_.settings.host]);
}

void sync_server::announce_overflow(boot_time now) {
    std::set<std::string> domains{core_.settings.failure_domain};
    for (const auto& [host, router] : followers_) {
        domains.insert(router.failure_domain);
    }
    std::erase_if(overflow_, [&](const auto& known) { return !domains.contains(known.first); });
    for (const auto& domain : domains) {
        auto shares = shares_of(quotas_.overflow, domain);
        const auto known = overflow_.find(domain);
        if (known != overflow_.end() && !differ(known->second, shares)) {
            continue;
        }
        count(core_.metrics, "overflow_changes");
        for (const auto& [service, destinations] : shares) {
            std::string listed;
            for (const auto& [to, share] : destinations) {
                listed += (listed.empty() ? "" : ",") + to + ":" + std::to_string(share);
            }
            core_.log.write("overflow",
                            {{"service", service}, {"domain", domain}, {"shares", listed}});
        }
        overflow_[domain] = std::move(shares);
    }
    apply_overflow(core_.state.overflow, overflow_[core_.settings.failure_domain]);
    core_.state.overflow.valid_until = now + overflow_validity;
}

std::vector<dispatch_candidate> sync_server::dispatch_candidates(boot_time now) const {
    std::vector<dispatch_candidate> candidates;
    for (const auto& [host, router] : followers_) {
        if (router.is_current && now - router.called_at < detail::recently_called_time) {
            candidates.push_back({host, router.forward_address, router.region, router.capacity,
                                  router.late_calls >= detail::late_calls_until_replaced});
        }
    }
    return candidates;
}

void sync_server::log_dispatchers(const dispatcher_map& before) const {
    const auto names = names_of(dispatch_.named);
    const auto names_before = names_of(before);
    if (names == names_before) {
        return;
    }
    count(core_.metrics, "dispatcher_changes");
    for (const auto& [destination, hosts] : names) {
        std::string listed;
        for (const auto& [host, address] : hosts) {
            listed += listed.empty() ? host : "," + host;
        }
        core_.log.write_always("dispatchers", {{"destination", destination}, {"hosts", listed}});
    }
    for (const auto& [destination, hosts] : names_before) {
        if (!names.contains(destination)) {
            core_.log.write_always("dispatchers", {{"destination", destination}, {"hosts", ""}});
        }
    }
}

void sync_server::share_limits(boot_time now) {
    std::erase_if(limits_, [&](const auto& limit) {
        const auto target = core_.state.targets.find(limit.first);
        return target == core_.state.targets.end() ||
               target->second->entry.started_unix_ms != limit.second.started_unix_ms ||
               now - limit.second.said_at >=
                   (limit.second.request_limit > 0 ? limit_lifetime : limit_end_time);
    });
    limit_shares_.clear();
    // Until then, routers may hold shares of an earlier leader that this one does not know.
    const bool may_raise = now - term_began_ >= limit_share_time;
    for (const auto& [id, limit] : limits_) {
        const auto& service = core_.state.targets.find(id)->second->entry.service;
        std::vector<limit_sharer> sharers;
        const auto add = [&, &target = id](const std::string& host, double held) {
            const auto demand = demand_of(demand_, target, host, now) +
                                demand_of(demand_, demand_destination(service, {}), host, now);
            sharers.push_back({host, demand, held});
        };
        const auto& own = core_.state.notices[id];
        add(core_.settings.host, own.share && now < own.share_until ? *own.share : 0);
        for (const auto& [host, router] : followers_) {
            const auto held = router.held_shares.find(id);
            const auto sent = router.limit_shares.find(id);
            add(host, std::max(held == router.held_shares.end() ? 0 : held->second,
                               sent == router.limit_shares.end() ? 0 : sent->second));
        }
        const auto shares = share_limit(limit.request_limit, sharers, may_raise);
        for (const auto& sharer : sharers) {
            if (limit.request_limit == 0) {
                limit_shares_[sharer.host][id] = -1;
            } else if (may_raise || sharer.held > 0) {
                limit_shares_[sharer.host][id] = shares.at(sharer.host);
            }
        }
    }
    apply_limit_shares(core_.state, limit_shares_[core_.settings.host], now);
}

void sync_server::find_crashes(boot_time now) {
    auto found = gateway::find_crashes(crash_watch_, core_.state.targets, now);
    for (const auto fingerprint : found.quarantined) {
        if (!core_.announced_crashes.quarantined.contains(fingerprint)) {
            core_.log.write_always(
                "request_held_back",
                {{"fingerprint", std::to_string(fingerprint)},
                 {"losses_known", std::int64_t(crash_watch_.quarantine.losses.size())}});
        }
    }
    if (found != core_.announced_crashes) {
        core_.announced_crashes = std::move(found);
        on_state_change();
    }
}

void sync_server::compare_capacities(boot_time now) {
    std::vector<double> capacities{core_.settings.capacity};
    for (const auto& [host, router] : followers_) {
        capacities.push_back(router.capacity);
    }
    auto top = top_capacity_of(capacities);
    if (now - term_began_ < detail::max_first_call_time) {
        top = std::max(top, fleet_.placement.top_capacity);
    }
    if (top != fleet_.placement.top_capacity) {
        core_.log.write_always("top_capacity", {{"cores", std::to_string(top)}});
        fleet_.placement.top_capacity = top;
    }
}

std::vector<successor_candidate> sync_server::successors(boot_time now) const {
    std::vector<successor_candidate> candidates;
    // Equal hosts are not replaced by each other.
    if (fleet_.placement.top_capacity <= 0) {
        return candidates;
    }
    for (const auto& [host, router] : followers_) {
        const bool calls = router.is_current &&
                           now - router.called_at < detail::recently_called_time &&
                           now - router.following_since >= detail::min_following_time;
        candidates.push_back({host, router.capacity,
                              calls && router.evidence.store_lost_at == boot_time{},
                              now - router.lagged_at < compared_lag_time});
    }
    return candidates;
}

bool sync_server::has_called_since(const std::string& host, boot_time replied_at) const {
    const auto router = followers_.find(host);
    return router != followers_.end() && router->second.evidence.followed_at >= replied_at;
}

}  // namespace mimosavalve::gateway
