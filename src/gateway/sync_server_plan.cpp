// What the leader decides from the routers' reports: quotas, dispatchers, shares of limits,
// crashes.

#include "sync_client.hpp"
#include "sync_server.hpp"
#include "sync_server_detail.hpp"

namespace mimosavalve::gateway {

namespace detail {

// Interval at which the reports are evaluated (quotas and crashes).
constexpr milliseconds evaluation_interval{200};
// Lag of its event loop from which a router is no dispatcher: requests would wait for it longer
// than for a slot.
constexpr milliseconds max_dispatcher_lag{250};

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
    const auto before = dispatch_.named;
    quotas_ = plan_quotas(core_.state, demand_, routers, dispatch_, now);
    log_dispatchers(before);
    apply_dispatchers(core_.state.dispatchers, names_of(dispatch_.named));
    core_.state.dispatchers.valid_until = now + dispatch_validity;
    const auto& own = quotas_.concurrency[core_.settings.host];
    core_.state.concurrency_quotas.clear();
    core_.state.concurrency_quotas.insert(own.begin(), own.end());
    apply_rate_quotas(core_.state, quotas_.rates[core_.settings.host], now);
}

std::vector<dispatch_candidate> sync_server::dispatch_candidates(boot_time now) const {
    std::vector<dispatch_candidate> candidates;
    for (const auto& [host, router] : followers_) {
        if (router.is_current && now - router.called_at < detail::recently_called_time) {
            candidates.push_back({host, router.forward_address, router.region, router.capacity,
                                  router.lag >= detail::max_dispatcher_lag});
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

}  // namespace mimosavalve::gateway
