#include "sync_server.hpp"

#include <cmath>

#include "control_timing.hpp"
#include "peer_paths.hpp"
#include "random_fraction.hpp"
#include "sync_client.hpp"
#include "sync_server_detail.hpp"

namespace mimosavalve::gateway {

namespace detail {

// The leader answers a call after this time at the latest, also when no state has changed.
constexpr milliseconds max_reply_delay{200};
// Interval at which changed work times are sent.
constexpr milliseconds work_interval{1000};
constexpr milliseconds load_line_interval{1000};
// Size of the replies in transit to one region from which further ones to it wait. The leader's own
// calls to the store wait behind them: 0.1 s on a link of 10 Mbit/s. State that changes meanwhile
// is sent once.
constexpr std::size_t max_bytes_in_transit = 128U << 10U;
// Time after which a reply no longer counts as in transit, although its router has not called
// again: it has left the leader's link, and a slow router must not hold up the replies to others.
constexpr milliseconds max_counted_transit{250};
// Number of changed routes up to which the leader sends the changes of the configuration to all
// routers itself. More are passed on from router to router.
constexpr std::size_t max_routes_to_all = 32;
}  // namespace detail

void apply_rate_quotas(routing_state& state, const std::map<std::string, double>& rates,
                       boot_time now) {
    for (auto& [id, target] : state.targets) {
        const auto found = rates.find(id);
        set_rate(target->rate, found == rates.end() ? 0 : found->second, detail::random_fraction(),
                 now);
    }
}

sync_server::sync_server(router_core& core, fleet_state& fleet, sources from)
    : core_(core), fleet_(fleet), from_(std::move(from)) {}

void sync_server::begin() {
    followers_.clear();
    term_began_ = core_.now();
    config_updates_.clear();
    distribution_ = {};
    limits_.clear();
    limit_shares_.clear();
    dispatch_ = {};
    crash_watch_ = resume_crash_watch(core_.announced_crashes, core_.now());
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
    for (auto& waiting : pending_replies_) {
        waiting.respond({unavailable, "text/plain", "", {}});
    }
    pending_replies_.clear();
}

void sync_server::tick(boot_time now) {
    if (now >= next_evaluation_) {
        sync_request own;
        collect_reports(core_, own);
        record_reports(core_.settings.host, own, now);
        allocate_quotas(now);
        share_limits(now);
        find_crashes(now);
    }
    if (now >= next_work_) {
        next_work_ = now + detail::work_interval;
        announce_work(work_, core_.state);
    }
    if (now >= next_load_line_) {
        next_load_line_ = now + detail::load_line_interval;
        log_load();
    }
    send_due_replies();
}

std::map<std::string, std::size_t> sync_server::bytes_in_transit(boot_time now) const {
    std::map<std::string, std::size_t> by_region;
    for (const auto& [host, router] : followers_) {
        if (router.bytes_in_transit > 0 && now - router.replied_at < detail::max_counted_transit) {
            by_region[router.region] += router.bytes_in_transit;
        }
    }
    return by_region;
}

void sync_server::send_due_replies() {
    const auto now = core_.now();
    auto in_transit = bytes_in_transit(now);
    for (auto& waiting : pending_replies_) {
        if (now < waiting.due) {
            continue;
        }
        const auto& host = waiting.request.host;
        auto& to_region = in_transit[followers_[host].region];
        if (to_region < detail::max_bytes_in_transit) {
            reply_to(waiting);
            to_region += followers_[host].bytes_in_transit;
        }
    }
    std::erase_if(pending_replies_, [](const auto& waiting) { return !waiting.respond; });
}

evidence_by_host sync_server::evidence(boot_time now) const {
    evidence_by_host by_host;
    for (const auto& [host, router] : followers_) {
        if (router.is_current) {
            by_host.emplace(host, router.evidence);
        }
    }
    by_host[core_.settings.host] = {
        fleet_.instance, now, fleet_.store_responsive ? boot_time{} : now,
        from_.announces_long_holds() ? now : boot_time{}, fleet_.long_holds_reported_at};
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

void sync_server::serve(const std::string& body, internal_server::respond respond) {
    constexpr unsigned bad_request = 400;
    constexpr unsigned unavailable = 503;
    auto request = decode_sync_request(body);
    if (!request) {
        respond({bad_request, "text/plain", "", {}});
        return;
    }
    if (!fleet_.leading || request->epoch != fleet_.leader.epoch) {
        respond({unavailable, "text/plain", "", {}});
        return;
    }
    const auto now = core_.now();
    record_caller(*request, now);
    if (request->config_version > core_.state.config.version && from_.fetch_config) {
        from_.fetch_config(request->address);
    }
    record_reports(request->host, *request, now);
    pending_reply waiting{std::move(*request), std::move(respond), now,
                          now + detail::max_reply_delay};
    if (is_behind(waiting.request)) {
        waiting.due = now;
    }
    // A router that calls again has given up its last call.
    std::erase_if(pending_replies_,
                  [&](const auto& other) { return other.request.host == waiting.request.host; });
    pending_replies_.push_back(std::move(waiting));
    send_due_replies();
}

void sync_server::record_caller(const sync_request& request, boot_time now) {
    auto& caller = followers_[request.host];
    // The router sent this call after the leader's last reply to it. The call may have been long in
    // transit, so that its arrival proves no later time.
    const auto sent_after =
        caller.evidence.instance == request.instance ? caller.replied_at : boot_time{};
    if (caller.called_at == boot_time{} || caller.evidence.instance != request.instance) {
        caller.following_since = now;
    }
    caller.evidence.instance = request.instance;
    caller.evidence.followed_at = sent_after;
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
        caller.crashes.reset();
        const bool has_one_before = request.reply_number + 1 == caller.reply_number;
        caller.work_number = has_one_before ? caller.earlier_work_number : 0;
    }
    caller.bytes_in_transit = 0;
    caller.config_version = request.config_version;
    const auto version = core_.state.config.version;
    update_transfers(distribution_, version, request.config_version == version ? request.host : "",
                     now);
    caller.address = request.address;
    caller.forward_address = request.forward_address;
    caller.capacity = request.capacity;
    caller.lag = milliseconds(request.lag_ms);
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
    for (const auto& [id, limit] : request.limits) {
        record_report(limits_, id, limit, now);
    }
    for (const auto& [id, started_unix_ms] : request.leaving) {
        const auto target = core_.state.targets.find(id);
        if (target != core_.state.targets.end() &&
            target->second->entry.started_unix_ms == started_unix_ms) {
            notice_of(core_.state, *target->second).leaving = true;
        }
    }
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
        for (auto& waiting : pending_replies_) {
            waiting.due = std::min(waiting.due, now);
        }
        send_due_replies();
    }));
}

}  // namespace mimosavalve::gateway
