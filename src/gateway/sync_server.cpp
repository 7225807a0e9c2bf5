#include "sync_server.hpp"

#include <cmath>

#include "control_timing.hpp"
#include "peer_paths.hpp"
#include "sync_client.hpp"
#include "sync_server_detail.hpp"

namespace mimosavalve::gateway {

namespace detail {

// Interval at which changed work times are sent.
constexpr milliseconds work_interval{1000};
constexpr milliseconds load_line_interval{1000};
// Number of changed routes up to which the leader sends the changes of the configuration to all
// routers itself. More are passed on from router to router.
constexpr std::size_t max_routes_to_all = 32;
}  // namespace detail

void apply_rate_quotas(routing_state& state, const std::map<std::string, double>& rates) {
    for (auto& [id, target] : state.targets) {
        const auto found = rates.find(id);
        target->rate_quota = found == rates.end() ? 0 : found->second;
    }
}

sync_server::sync_server(router_core& core, fleet_state& fleet, sources from)
    : core_(core), fleet_(fleet), from_(std::move(from)) {}

void sync_server::begin() {
    followers_.clear();
    ranks_valid_ = false;
    replies_.restart();
    pacing_ = {};
    term_began_ = core_.now();
    config_updates_.clear();
    distribution_ = {};
    limits_.clear();
    limit_shares_.clear();
    // The demand and the routers become known within seconds; until then the dispatchers stay.
    dispatch_.named = taken_over(core_.state.dispatchers);
    overflow_.clear();
    crash_watch_ = resume_crash_watch(core_.announced_crashes, core_.state.targets, core_.now());
    add_report(crash_watch_, {core_.reported_losses, {}, {}}, core_.now());
    registries_.restart();
    registries_.add(core_.state.registry);
    for (auto& [service, maps] : maps_) {
        maps.restart();
    }
}

void sync_server::continue_term() {
    for (auto& [host, router] : followers_) {
        router.is_current = false;
    }
    end();
}

void sync_server::end() {
    constexpr unsigned unavailable = 503;
    for (auto& waiting : replies_.take_all()) {
        waiting.respond({unavailable, "text/plain", "", {}});
    }
    for (auto& call : std::exchange(arrived_, {})) {
        call.respond({unavailable, "text/plain", "", {}});
    }
}

void sync_server::tick(boot_time now) {
    if (now >= next_evaluation_) {
        expire_followers(now);
        sync_request own;
        collect_reports(core_, own);
        record_reports(core_.settings.host, own, now);
        allocate_quotas(now);
        share_limits(now);
        find_crashes(now);
        compare_capacities(now);
    }
    if (now >= next_work_) {
        next_work_ = now + detail::work_interval;
        announce_work(work_, core_.state);
    }
    if (now >= next_load_line_) {
        next_load_line_ = now + detail::load_line_interval;
        log_load();
    }
    serve_slice();
}

evidence_by_host sync_server::evidence(boot_time now) const {
    evidence_by_host by_host;
    for (const auto& [host, router] : followers_) {
        if (router.is_current) {
            by_host.emplace(host, router.evidence);
        }
    }
    by_host[core_.settings.host] = {fleet_.instance,
                                    now,
                                    fleet_.store_responsive ? boot_time{} : now,
                                    from_.announces_long_holds() ? now : boot_time{},
                                    fleet_.long_holds_reported_at,
                                    core_.settings.failure_domain};
    return by_host;
}

router_instances sync_server::recent_followers(boot_time now) const {
    router_instances running;
    for (const auto& [host, router] : followers_) {
        if (router.is_current && now - router.called_at < detail::recently_called_time) {
            running.emplace(host, router_instance(router.evidence.instance, router.address));
        }
    }
    return running;
}

void sync_server::record_caller(const sync_request& request, boot_time now) {
    const auto [found, is_new] = followers_.try_emplace(request.host);
    auto& caller = found->second;
    ranks_valid_ = ranks_valid_ && !is_new;
    // The router sent this call after the leader's last reply to it. The call may have been long in
    // transit, so that its arrival proves no later time.
    const auto sent_after =
        caller.evidence.instance == request.instance ? caller.replied_at : boot_time{};
    if (caller.called_at == boot_time{} || caller.evidence.instance != request.instance) {
        caller.following_since = now;
    }
    caller.evidence.instance = request.instance;
    caller.evidence.followed_at = sent_after;
    caller.evidence.failure_domain = request.failure_domain;
    caller.evidence.store_lost_at = request.store_lost ? sent_after : boot_time{};
    if (request.long_holds_received) {
        caller.evidence.long_holds_known_at = now;
    }
    if (request.long_holds_age_ms < never_ms) {
        caller.evidence.long_holds_reported_at = now - milliseconds(request.long_holds_age_ms);
    }
    caller.held_shares.clear();
    for (const auto& [id, limit] : request.limits) {
        caller.held_shares[id] = limit.held;
    }
    if (request.reply_number != caller.reply_number) {
        // It may still receive the shares of the last reply.
        for (const auto& [id, share] : caller.limit_shares) {
            auto& held = caller.held_shares[id];
            held = std::max(held, share);
        }
        // The last reply did not arrive, so the values that it carried must be sent again.
        caller.concurrency.reset();
        caller.rates.reset();
        caller.dispatchers.reset();
        caller.overflow.reset();
        caller.crashes.reset();
        const bool has_one_before = request.reply_number + 1 == caller.reply_number;
        caller.work_number = has_one_before ? caller.earlier_work_number : 0;
    }
    replies_.record_call(request.host);
    caller.config_version = request.config_version;
    const auto version = core_.state.config.version;
    update_transfers(distribution_, version, request.config_version == version ? request.host : "",
                     now);
    caller.address = request.address;
    caller.forward_address = request.forward_address;
    caller.capacity = request.capacity;
    const bool is_late = milliseconds(request.lag_ms) >= detail::max_dispatcher_lag;
    caller.late_calls = is_late ? caller.late_calls + 1 : 0;
    if (milliseconds(request.lag_ms) >= min_lag) {
        caller.lagged_at = now;
    }
    caller.failure_domain = request.failure_domain;
    caller.region = region_of(core_.state.regions, request.failure_domain);
    caller.called_at = now;
    caller.is_current = true;
}

const config_update* sync_server::missing_config(const sync_request& request) {
    const auto version = core_.state.config.version;
    if (request.config_version >= version) {
        return nullptr;
    }
    if (!config_updates_.empty() && config_updates_.begin()->second.version != version) {
        config_updates_.clear();
    }
    const auto [known, added] = config_updates_.try_emplace(request.config_version);
    if (added) {
        known->second = from_.config_since(request.config_version);
    }
    return &known->second;
}

config_peer sync_server::peer_of(const std::string& host, const follower& router) const {
    return {host, router.failure_domain,
            std::string(region_of(core_.state.regions, router.failure_domain)), router.address};
}

std::vector<config_peer> sync_server::config_holders(boot_time now) const {
    std::vector<config_peer> holders{{core_.settings.host, core_.settings.failure_domain,
                                      core_.settings.region, core_.settings.peer_address}};
    for (const auto& [host, router] : followers_) {
        if (router.is_current && router.config_version == core_.state.config.version &&
            now - router.called_at < detail::recently_called_time) {
            holders.push_back(peer_of(host, router));
        }
    }
    return holders;
}

void sync_server::add_config(sync_reply& reply, const sync_request& request, boot_time now) {
    const auto* missing = missing_config(request);
    if (missing == nullptr) {
        return;
    }
    if (missing->routes.size() + missing->removed.size() <= detail::max_routes_to_all) {
        reply.config = *missing;
        return;
    }
    const auto caller = followers_.find(request.host);
    if (caller == followers_.end()) {
        return;
    }
    const auto holders = config_holders(now);
    const auto* source = choose_source(
        distribution_, holders, peer_of(request.host, caller->second), detail::sync_call_time, now);
    if (source == nullptr) {
        return;
    }
    core_.log.write("config_source",
                    {{"to", request.host},
                     {"from", source->host},
                     {"version", static_cast<std::int64_t>(core_.state.config.version)},
                     {"routes", static_cast<std::int64_t>(missing->routes.size())},
                     {"transfers", static_cast<std::int64_t>(distribution_.running.size())}});
    if (source->host == core_.settings.host) {
        reply.config = *missing;
    } else {
        reply.config_source = source->address;
    }
}

bool sync_server::is_behind(const sync_request& request) {
    const auto* missing = missing_config(request);
    if ((missing != nullptr &&
         missing->routes.size() + missing->removed.size() <= detail::max_routes_to_all) ||
        request.registry_number != registries_.number()) {
        return true;
    }
    return std::any_of(maps_.begin(), maps_.end(), [&](const auto& numbered) {
        const auto known = request.map_numbers.find(numbered.first);
        return known == request.map_numbers.end() || known->second != numbered.second.number();
    });
}

void sync_server::record_reports(const std::string& host, sync_request& request, boot_time now) {
    from_.add_key_loads(request.key_loads);
    for (const auto& [service, load] : request.key_loads) {
        const auto map = core_.state.keys.find(service);
        if (map == core_.state.keys.end()) {
            continue;
        }
        // All requests of a counter count for the owner of its first key.
        for (const auto& [key, requests] : load.counts) {
            record_demand(demand_, segment_of(map->second, key).owner, host, requests, now);
        }
    }
    request.key_loads.clear();
    for (const auto& [service, requests] : request.demand) {
        record_demand(demand_, service, host, requests, now);
    }
    add_report(crash_watch_, request.crashes, now);
    if (from_.add_contradictions && (!request.misdirected.empty() || !request.moved.empty())) {
        from_.add_contradictions(host, request);
    }
    for (const auto& [id, limit] : request.limits) {
        record_report(limits_, id, limit, now);
    }
    record_leavers(core_, request.leaving, host);
    for (const auto& [id, report] : request.work) {
        const auto found = core_.state.targets.find(id);
        if (found == core_.state.targets.end()) {
            continue;
        }
        found->second->answered_at = now;
        if (report.count == 0) {
            continue;
        }
        record_work(core_.state, *found->second, report.count, report.sum_ms);
    }
}

void sync_server::log_load() {
    for (const auto& [id, limit] : limits_) {
        double sum = 0;
        std::int64_t sharers = 0;
        for (const auto& [host, shares] : limit_shares_) {
            const auto share = shares.find(id);
            sum += share == shares.end() ? 0 : std::max(share->second, 0.0);
            sharers += share != shares.end() && share->second > 0 ? 1 : 0;
        }
        core_.log.write("limit_shared",
                        {{"target", id},
                         {"limit", std::to_string(limit.request_limit)},
                         {"age_ms", -milliseconds_until(limit.said_at, core_.now())},
                         {"sharers", sharers},
                         {"sum", std::to_string(sum)}});
    }
    core_.log.write_always(
        "leader_load",
        {{"followers", static_cast<std::int64_t>(followers_.size())},
         {"replies", totals_.replies},
         {"bytes", totals_.bytes},
         {"whole_registries", totals_.whole_registries},
         {"registry_entries", totals_.registry_entries},
         {"key_segments", totals_.key_segments},
         {"quotas", totals_.quotas},
         {"work_times", totals_.work_times},
         {"registry_age_ms", -milliseconds_until(core_.state.registry_known_at, core_.now())}});
    count(core_.metrics, "whole_registries_sent",
          static_cast<std::uint64_t>(totals_.whole_registries));
    totals_ = {};
}

void sync_server::on_state_change() {
    for (const auto& [service, map] : core_.state.keys) {
        auto& maps = maps_[service];
        if (maps.last() == nullptr || *maps.last() != map) {
            maps.add(map);
        }
    }
    if (replies_deferred_) {
        return;
    }
    // Several changes in one event are sent in one reply.
    replies_deferred_ = true;
    core_.defer(life_.guard([this] {
        replies_deferred_ = false;
        const auto now = core_.now();
        replies_.make_due(now);
        serve_slice();
    }));
}

}  // namespace mimosavalve::gateway
