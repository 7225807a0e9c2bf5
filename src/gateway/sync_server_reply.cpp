#include <cmath>

#include "peer_paths.hpp"
#include "sync_server.hpp"

namespace mimosavalve::gateway {

namespace detail {

// Relative change of a rate below which it is not sent again.
constexpr double min_relative_change = 0.05;

bool differs(double sent, double now) {
    return std::abs(now - sent) > sent * min_relative_change;
}

// Whether the rates differ significantly from those that a router has received.
bool differ(const std::map<std::string, double>& sent, const std::map<std::string, double>& now) {
    return !std::equal(sent.begin(), sent.end(), now.begin(), now.end(),
                       [](const auto& one, const auto& other) {
                           return one.first == other.first && !differs(one.second, other.second);
                       });
}

}  // namespace detail

void sync_server::add_totals(const sync_reply& reply) {
    const auto size_of = [](const auto& items) { return static_cast<std::int64_t>(items.size()); };
    if (reply.registry) {
        totals_.registry_entries += size_of(reply.registry->entries);
    }
    for (const auto& [service, update] : reply.maps) {
        totals_.key_segments += size_of(update.segments);
    }
    totals_.quotas += reply.concurrency_quotas ? size_of(*reply.concurrency_quotas) : 0;
    totals_.quotas += reply.rate_quotas ? size_of(*reply.rate_quotas) : 0;
    totals_.work_times += size_of(reply.work_ms);
}

void sync_server::add_maps(sync_reply& reply, const sync_request& request, boot_time now) {
    for (auto& [service, maps] : maps_) {
        reply.map_numbers[service] = maps.number();
        const auto known = request.map_numbers.find(service);
        const auto requested = known == request.map_numbers.end() ? 0 : known->second;
        if (requested == maps.number() || maps.last() == nullptr) {
            continue;
        }
        auto update = maps.update_since(requested);
        const auto updated = core_.state.keys_received_at.find(service);
        const auto age = updated == core_.state.keys_received_at.end()
                             ? std::int64_t{0}
                             : -milliseconds_until(updated->second, now);
        for (auto& segment : update.segments) {
            segment.wait_ms -=
                std::min<std::uint32_t>(segment.wait_ms, static_cast<std::uint32_t>(age));
        }
        reply.maps.emplace(service, std::move(update));
    }
}

void sync_server::add_registry(sync_reply& reply, const sync_request& request) {
    reply.registry_number = registries_.number();
    if (request.registry_number == registries_.number() || registries_.last() == nullptr) {
        return;
    }
    reply.registry = registries_.update_since(request.registry_number);
    totals_.whole_registries += reply.registry->whole ? 1 : 0;
}

void sync_server::add_quotas(sync_reply& reply, const std::string& host, follower& caller) const {
    const auto allocated = quotas_.concurrency.find(host);
    const auto& quotas = allocated == quotas_.concurrency.end()
                             ? std::map<std::string, std::uint32_t>()
                             : allocated->second;
    if (!caller.concurrency || *caller.concurrency != quotas) {
        reply.concurrency_quotas = quotas;
        caller.concurrency = quotas;
    }
    const auto allocated_rates = quotas_.rates.find(host);
    const auto& rate_quotas = allocated_rates == quotas_.rates.end()
                                  ? std::map<std::string, double>()
                                  : allocated_rates->second;
    if (!caller.rates || detail::differ(*caller.rates, rate_quotas)) {
        reply.rate_quotas = rate_quotas;
        caller.rates = rate_quotas;
    }
    const auto dispatchers = names_of(dispatch_.named);
    if (!caller.dispatchers || *caller.dispatchers != dispatchers) {
        reply.dispatchers = dispatchers;
        caller.dispatchers = dispatchers;
    }
    const auto overflow = overflow_.find(caller.failure_domain);
    if (overflow != overflow_.end() && caller.overflow != overflow->second) {
        reply.overflow = overflow->second;
        caller.overflow = overflow->second;
    }
}

void sync_server::add_work(sync_reply& reply, follower& caller) const {
    reply.work_ms = work_since(work_, caller.work_number);
    caller.earlier_work_number = caller.work_number;
    caller.work_number = work_.last_number;
}

void sync_server::add_crashes(sync_reply& reply, follower& caller) const {
    if (caller.crashes.value_or(crash_findings()) != core_.announced_crashes) {
        reply.crashes = core_.announced_crashes;
        caller.crashes = core_.announced_crashes;
    }
}

void sync_server::reply_to(waiting_call& waiting) {
    const auto now = core_.now();
    const auto& request = waiting.request;
    update_ranks();
    auto& caller = followers_[request.host];
    sync_reply reply;
    reply.epoch = fleet_.leader.epoch;
    reply.routers = sharing_router_count(static_cast<std::uint32_t>(followers_.size()) + 1,
                                         milliseconds(-milliseconds_until(term_began_, now)));
    reply.rank = caller.rank;
    reply.store_age_ms = static_cast<std::uint64_t>(
        std::max<std::int64_t>(-milliseconds_until(core_.state.registry_known_at, now), 0));
    reply.held_ms = static_cast<std::uint64_t>(-milliseconds_until(waiting.arrived_at, now));
    reply.config_version = core_.state.config.version;
    add_config(reply, request, now);
    reply.top_capacity = fleet_.placement.top_capacity;
    reply.successor = fleet_.placement.transfer.successor;
    reply.long_holds = from_.announces_long_holds();
    from_.fill_reply(reply);
    add_registry(reply, request);
    add_maps(reply, request, now);
    caller.replied_at = now;
    reply.number = ++caller.reply_number;
    add_quotas(reply, request.host, caller);
    const auto limit_shares = limit_shares_.find(request.host);
    caller.limit_shares = limit_shares == limit_shares_.end() ? std::map<std::string, double>()
                                                              : limit_shares->second;
    reply.limit_shares = caller.limit_shares;
    reply.leaving = unregistered_leavers(core_.state);
    add_work(reply, caller);
    add_crashes(reply, caller);
    // The leader shares the limits as well; its own rank is 0.
    core_.state.router_count = reply.routers;
    core_.state.router_rank = 0;
    const auto respond = std::exchange(waiting.respond, nullptr);
    auto body = encode(reply);
    add_totals(reply);
    ++totals_.replies;
    totals_.bytes += static_cast<std::int64_t>(body.size());
    replies_.record_sent(request.host, waiting.region, body.size(), now);
    respond({200, peer_paths::body_type, std::move(body), {}});
}

}  // namespace mimosavalve::gateway
