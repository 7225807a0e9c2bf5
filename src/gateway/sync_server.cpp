#include "sync_server.hpp"

#include <cmath>

#include "peer_paths.hpp"
#include "sync_client.hpp"

namespace mimosavalve::gateway {

namespace detail {

// The leader keeps a router's call this long when there is nothing new.
constexpr milliseconds reply_wait{200};
// A router that was not heard of for this long no longer shares limits. Longer than a cut after
// which a router may go on sending without our knowledge.
constexpr milliseconds follower_life{10000};
// A router that was heard of within this time counts as running.
constexpr milliseconds running_time{1500};
// Places are divided again, and work times passed on, this often.
constexpr milliseconds lending_time{200};
constexpr milliseconds work_time{1000};
// Smaller changes of rates and work times are not worth a message.
constexpr double told_change = 0.05;
// Weight of one answer in a target's mean work time.
constexpr double work_weight = 0.1;

bool differs(double told, double now) {
    return std::abs(now - told) > told * told_change;
}

// Whether a router acts differently by the rates than by those that it was told.
bool differ(const std::map<std::string, double>& told, const std::map<std::string, double>& now) {
    return !std::equal(told.begin(), told.end(), now.begin(), now.end(),
                       [](const auto& one, const auto& other) {
                           return one.first == other.first && !differs(one.second, other.second);
                       });
}

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
    term_began_ = core_.now();
    crash_watch_ = resume_crash_watch(core_.known_crashes, core_.now());
    registries_.restart();
    registries_.add(core_.state.registry);
    for (auto& [service, maps] : maps_) {
        maps.restart();
    }
}

void sync_server::end() {
    constexpr unsigned unavailable = 503;
    for (auto& waiting : pending_replies_) {
        waiting.respond({unavailable, "text/plain", "", {}});
    }
    pending_replies_.clear();
}

void sync_server::tick(boot_time now) {
    if (now >= next_allocation_) {
        sync_request own;
        collect_reports(core_, own);
        record_reports(core_.settings.host, own, now);
        allocate_quotas(now);
        find_crashes(now);
    }
    for (auto& waiting : pending_replies_) {
        if (now >= waiting.due) {
            reply_to(waiting);
        }
    }
    std::erase_if(pending_replies_, [](const auto& waiting) { return !waiting.respond; });
}

evidence_by_host sync_server::evidence(boot_time now) const {
    evidence_by_host heard;
    for (const auto& [host, known] : followers_) {
        heard.emplace(host, known.evidence);
    }
    heard[core_.settings.host] = {fleet_.instance, now, fleet_.store_responsive ? boot_time{} : now,
                                  from_.announces_long_holds() ? now : boot_time{},
                                  fleet_.long_holds_reported_at};
    return heard;
}

router_instances sync_server::followers(boot_time now) const {
    router_instances running;
    for (const auto& [host, known] : followers_) {
        if (now - known.called_at < detail::running_time) {
            running.emplace(host, router_instance(known.evidence.instance, known.address));
        }
    }
    return running;
}

void sync_server::serve(const std::string& body, small_server::respond respond) {
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
    record_reports(request->host, *request, now);
    pending_reply waiting{std::move(*request), std::move(respond), now + detail::reply_wait};
    if (is_behind(waiting.request)) {
        reply_to(waiting);
    } else {
        pending_replies_.push_back(std::move(waiting));
    }
}

void sync_server::record_caller(const sync_request& request, boot_time now) {
    auto& from = followers_[request.host];
    // The router sent this after our last answer, which may have been long on its way.
    const auto surely_sent =
        from.evidence.instance == request.instance ? from.replied_at : boot_time{};
    from.evidence.instance = request.instance;
    from.evidence.followed_at = surely_sent;
    from.evidence.store_lost_at = request.store_lost ? surely_sent : boot_time{};
    if (request.knows_long_holds) {
        from.evidence.long_holds_known_at = now;
    }
    if (request.long_holds_age_ms < never_ms) {
        from.evidence.long_holds_reported_at = now - milliseconds(request.long_holds_age_ms);
    }
    if (request.reply_number != from.reply_number) {
        // Our last reply did not arrive: nothing that it told is known.
        from.concurrency.reset();
        from.rates.reset();
        from.crashes.reset();
        from.work_ms.clear();
    }
    from.address = request.address;
    from.failure_domain = request.failure_domain;
    from.called_at = now;
}

bool sync_server::is_behind(const sync_request& request) const {
    if (request.config_version < core_.state.config.version ||
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
        for (const auto& [key, requests] : load.counts) {
            record_demand(demand_, segment_of(map->second, key).owner, host, requests, now);
        }
    }
    request.key_loads.clear();
    for (const auto& [service, requests] : request.demand) {
        record_demand(demand_, service, host, requests, now);
    }
    add_report(crash_watch_, request.crashes, now);
    for (const auto& [id, report] : request.work) {
        const auto found = core_.state.targets.find(id);
        if (found == core_.state.targets.end()) {
            continue;
        }
        found->second->answered_at = now;
        if (report.count == 0) {
            continue;
        }
        auto& known = found->second->work_ms;
        const double mean = report.sum_ms / report.count;
        const double weight = std::min(report.count * detail::work_weight, 1.0);
        known = known == 0 ? mean : known + (mean - known) * weight;
    }
}

void sync_server::allocate_quotas(boot_time now) {
    next_allocation_ = now + detail::lending_time;
    expire_demand(demand_, now);
    std::map<std::string, std::string> routers;
    routers.emplace(core_.settings.host, core_.settings.failure_domain);
    for (const auto& [host, known] : followers_) {
        routers.emplace(host, known.failure_domain);
    }
    quotas_ = plan_quotas(core_.state, demand_, routers, now);
    const auto& own = quotas_.concurrency[core_.settings.host];
    core_.state.concurrency_quotas.clear();
    core_.state.concurrency_quotas.insert(own.begin(), own.end());
    apply_rate_quotas(core_.state, quotas_.rates[core_.settings.host]);
}

void sync_server::find_crashes(boot_time now) {
    auto found = gateway::find_crashes(crash_watch_, core_.state.targets, now);
    for (const auto fingerprint : found.quarantined) {
        if (!core_.known_crashes.quarantined.contains(fingerprint)) {
            core_.log.write_always(
                "request_held_back",
                {{"fingerprint", std::to_string(fingerprint)},
                 {"losses_known", std::int64_t(crash_watch_.quarantine.losses.size())}});
        }
    }
    if (found != core_.known_crashes) {
        core_.known_crashes = std::move(found);
        on_state_change();
    }
}

void sync_server::add_maps(sync_reply& reply, const sync_request& request, boot_time now) const {
    for (const auto& [service, maps] : maps_) {
        reply.map_numbers[service] = maps.number();
        const auto known = request.map_numbers.find(service);
        const auto asked = known == request.map_numbers.end() ? 0 : known->second;
        if (asked == maps.number() || maps.last() == nullptr) {
            continue;
        }
        const auto* before = maps.find(asked);
        auto update =
            before == nullptr ? whole_update(*maps.last()) : difference(*before, *maps.last());
        const auto learnt = core_.state.keys_received_at.find(service);
        const auto age = learnt == core_.state.keys_received_at.end()
                             ? std::int64_t{0}
                             : -milliseconds_until(learnt->second, now);
        for (auto& segment : update.segments) {
            segment.wait_ms -=
                std::min<std::uint32_t>(segment.wait_ms, static_cast<std::uint32_t>(age));
        }
        reply.maps.emplace(service, std::move(update));
    }
}

void sync_server::add_registry(sync_reply& reply, const sync_request& request) const {
    reply.registry_number = registries_.number();
    if (request.registry_number == registries_.number() || registries_.last() == nullptr) {
        return;
    }
    const auto* before = registries_.find(request.registry_number);
    reply.registry = before == nullptr ? whole_update(*registries_.last())
                                       : difference(*before, *registries_.last());
}

void sync_server::add_quotas(sync_reply& reply, const std::string& host, follower& asking) const {
    const auto places = quotas_.concurrency.find(host);
    const auto& now_lent = places == quotas_.concurrency.end()
                               ? std::map<std::string, std::uint32_t>()
                               : places->second;
    if (!asking.concurrency || *asking.concurrency != now_lent) {
        reply.concurrency_quotas = now_lent;
        asking.concurrency = now_lent;
    }
    const auto rates = quotas_.rates.find(host);
    const auto& now_rates =
        rates == quotas_.rates.end() ? std::map<std::string, double>() : rates->second;
    if (!asking.rates || detail::differ(*asking.rates, now_rates)) {
        reply.rate_quotas = now_rates;
        asking.rates = now_rates;
    }
}

void sync_server::add_work(sync_reply& reply, follower& asking, boot_time now) const {
    if (now - asking.work_compared_at < detail::work_time) {
        return;
    }
    asking.work_compared_at = now;
    for (const auto& [id, target] : core_.state.targets) {
        auto& told = asking.work_ms[id];
        if (target->work_ms > 0 && detail::differs(told, target->work_ms)) {
            told = std::round(target->work_ms);
            reply.work_ms.emplace(id, told);
        }
    }
    std::erase_if(asking.work_ms,
                  [&](const auto& told) { return !core_.state.targets.contains(told.first); });
}

void sync_server::add_crashes(sync_reply& reply, follower& asking) const {
    if (asking.crashes.value_or(crash_findings()) != core_.known_crashes) {
        reply.crashes = core_.known_crashes;
        asking.crashes = core_.known_crashes;
    }
}

void sync_server::reply_to(pending_reply& waiting) {
    const auto now = core_.now();
    const auto& request = waiting.request;
    std::erase_if(followers_, [&](const auto& known) {
        return now - known.second.called_at > detail::follower_life;
    });
    sync_reply reply;
    reply.epoch = fleet_.leader.epoch;
    reply.routers = sharing_router_count(static_cast<std::uint32_t>(followers_.size()) + 1,
                                         milliseconds(-milliseconds_until(term_began_, now)));
    reply.rank = static_cast<std::uint32_t>(
        std::distance(followers_.begin(), followers_.find(request.host)) + 1);
    reply.store_age_ms = static_cast<std::uint64_t>(
        std::max<std::int64_t>(-milliseconds_until(fleet_.registry_read_at, now), 0));
    reply.config_version = core_.state.config.version;
    if (request.config_version < core_.state.config.version) {
        reply.config_text = from_.config_text();
    }
    reply.long_holds = from_.announces_long_holds();
    from_.fill_reply(reply);
    add_registry(reply, request);
    add_maps(reply, request, now);
    auto& asking = followers_[request.host];
    asking.replied_at = now;
    reply.number = ++asking.reply_number;
    add_quotas(reply, request.host, asking);
    add_work(reply, asking, now);
    add_crashes(reply, asking);
    core_.state.router_count = reply.routers;
    core_.state.router_rank = 0;
    const auto respond = std::exchange(waiting.respond, nullptr);
    respond({200, peer_paths::body_type, encode(reply), {}});
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
    // Several changes in one step are told at once.
    replies_deferred_ = true;
    core_.defer(life_.guard([this] {
        replies_deferred_ = false;
        for (auto& waiting : pending_replies_) {
            reply_to(waiting);
        }
        pending_replies_.clear();
    }));
}

}  // namespace mimosavalve::gateway
