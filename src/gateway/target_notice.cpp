#include "mimosavalve/gateway/target_notice.hpp"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <vector>

namespace mimosavalve::gateway {

namespace detail {

// Routers that may send their first request at once, besides one for each request per second: their
// tokens are added to what the limit allows.
constexpr double extra_sharers = 2;
// Requests that a router may send at once after a pause.
constexpr double max_tokens = 1;
// Demand added for each router, since any router may get requests at any time.
constexpr double added_demand = 0.01;

}  // namespace detail

bool record_limit(target_notice& known, const answer_notice& notice, boot_time sent_at,
                  boot_time now) {
    const auto limit = notice.request_limit
                           ? std::clamp(*notice.request_limit, min_request_limit, max_request_limit)
                           : 0;
    if (limit == 0 && (known.request_limit == 0 || sent_at <= known.limit_said_at)) {
        return false;
    }
    const bool has_changed = limit != known.request_limit;
    if (known.request_limit == 0) {
        known.tokens = 0;
        known.tokens_at = now;
    }
    known.request_limit = limit;
    known.limit_said_at = now;
    return has_changed;
}

bool record_pause(target_notice& known, milliseconds pause, boot_time now) {
    const auto until = now + std::min(pause, max_pause);
    if (until <= known.paused_until) {
        return false;
    }
    known.paused_until = until;
    return true;
}

bool is_paused(const target_notice& known, boot_time now) {
    return now < known.paused_until;
}

bool is_limited(const target_notice& known, boot_time now) {
    return (known.request_limit > 0 && now - known.limit_said_at < limit_lifetime) ||
           (known.share && now < known.share_until);
}

double allowed_rate(const target_notice& known, std::uint32_t routers, boot_time now) {
    if (known.share && now < known.share_until) {
        return *known.share;
    }
    return known.request_limit / 2 / std::max(routers, 1U);
}

bool has_token(target_notice& known, std::uint32_t routers, boot_time now) {
    if (!is_limited(known, now)) {
        return true;
    }
    const auto elapsed = std::chrono::duration<double>(now - known.tokens_at).count();
    known.tokens =
        std::min(known.tokens + elapsed * allowed_rate(known, routers, now), detail::max_tokens);
    known.tokens_at = now;
    return known.tokens >= 1;
}

void take_token(target_notice& known) {
    known.tokens = std::max(known.tokens - 1, 0.0);
}

std::map<std::string, limit_report> reports_of(
    const std::map<std::string, target_notice, std::less<>>& notices, boot_time now) {
    std::map<std::string, limit_report> out;
    for (const auto& [id, known] : notices) {
        const bool has_ended_lately =
            known.limit_said_at != boot_time{} && now - known.limit_said_at < limit_end_time;
        const bool has_share = known.share && now < known.share_until;
        if (!is_limited(known, now) && !has_ended_lately) {
            continue;
        }
        // What the leader has told is no news to it.
        const auto age_ms = known.limit_said_at == boot_time{}
                                ? limit_share_time.count() + limit_end_time.count()
                                : -milliseconds_until(known.limit_said_at, now);
        out[id] = {known.started_unix_ms, known.request_limit,
                   static_cast<std::uint64_t>(std::max<std::int64_t>(age_ms, 0)),
                   has_share ? *known.share : 0};
    }
    return out;
}

void apply_shares(std::map<std::string, target_notice, std::less<>>& notices,
                  const std::map<std::string, double>& shares, boot_time sent_at) {
    for (auto& [id, known] : notices) {
        const auto found = shares.find(id);
        if (found != shares.end() && found->second >= 0) {
            known.share = found->second;
            known.share_until = sent_at + limit_share_time;
        } else {
            known.share.reset();
            // An answer that came after the call may name the limit again.
            if (found != shares.end() && known.limit_said_at < sent_at) {
                known.request_limit = 0;
            }
        }
    }
}

void record_report(std::map<std::string, fleet_limit>& limits, const std::string& target,
                   const limit_report& report, boot_time now) {
    const auto said_at =
        now - milliseconds(std::min<std::uint64_t>(report.age_ms, std::uint64_t{1} << 30U));
    auto& known = limits[target];
    if (known.started_unix_ms != report.started_unix_ms || said_at > known.said_at) {
        known = {report.started_unix_ms, report.request_limit, said_at};
    }
}

std::map<std::string, double> share_limit(double limit, std::span<const limit_sharer> sharers,
                                          bool may_raise) {
    std::vector<const limit_sharer*> ranked;
    double held = 0;
    for (const auto& each : sharers) {
        ranked.push_back(&each);
        held += each.held;
    }
    // Routers that already hold a share keep it before others of the same demand.
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto* left, const auto* right) {
        return std::tuple(left->demand, left->held) > std::tuple(right->demand, right->held);
    });
    const auto count =
        std::min(ranked.size(), static_cast<std::size_t>(detail::extra_sharers + limit));
    double demand = 0;
    for (std::size_t index = 0; index < count; ++index) {
        demand += ranked[index]->demand + detail::added_demand;
    }
    double free = std::max(limit - held, 0.0);
    std::map<std::string, double> shares;
    for (std::size_t index = 0; index < ranked.size(); ++index) {
        const auto& each = *ranked[index];
        const auto wanted =
            index < count ? limit * (each.demand + detail::added_demand) / demand : 0;
        const auto raise = may_raise ? std::clamp(wanted - each.held, 0.0, free) : 0;
        free -= raise;
        shares.emplace(each.host, std::min(wanted, each.held + raise));
    }
    return shares;
}

}  // namespace mimosavalve::gateway
