#include "mimosavalve/gateway/domain_overflow.hpp"

#include <algorithm>
#include <cmath>

namespace mimosavalve::gateway {

namespace detail {

// Fraction of a domain's capacity up to which it serves its own requests and those of others. Above
// it, queues at targets grow by more than the round trip to another domain.
constexpr double full_utilization = 0.75;
// Change of a share from which it is announced again.
constexpr double min_share_change = 0.05;
// Smaller shares are not worth a quota at the targets of another domain.
constexpr double min_share = 0.02;
// Maximum number of tokens for a domain: those of a burst, as shares follow the demand only after
// about a second.
constexpr double max_overflow_tokens = 4;
// Responses over which the mean sizes of a route are taken.
constexpr std::uint32_t size_samples = 50;
// Assumed size of uploads and downloads before any response.
constexpr double assumed_large_bytes = 64 << 10;
constexpr double large_bytes = 16 << 10;
// Round trips between domains and between regions.
constexpr double domain_round_trip_ms = 3;
constexpr double region_round_trip_ms = 45;
// Rate of the link between regions (60 Mbit/s). All traffic shares it, so a request between regions
// is charged for a tenth of it.
constexpr double link_bytes_per_ms = 7500;
constexpr double region_link_fraction = 0.1;

bool allows(const domain_demand& demand, std::string_view region) {
    return demand.home_regions.empty() ||
           std::find(demand.home_regions.begin(), demand.home_regions.end(), region) !=
               demand.home_regions.end();
}

struct region_load {
    double capacity = 0;
    double domestic = 0;  // Demand of its routers that stays in it as far as possible.
    double foreign = 0;   // Demand from other regions that can go nowhere else.
    double excess = 0;    // Of the domains, over the region's level.
    double spare = 0;     // Of the domains, below the level.

    [[nodiscard]] double load() const { return domestic + foreign; }
};

struct domain_load {
    const overflow_domain* domain = nullptr;
    double domestic = 0;
    double foreign = 0;
    double excess = 0;
    double spare = 0;
};

struct overflow_loads {
    std::map<std::string, region_load> regions;
    std::vector<domain_load> domains;
    // Fraction of its capacity up to which a region serves requests of others: that of the whole
    // fleet if this is above `full_utilization`. Otherwise an overloaded region would refuse
    // requests while slots of another one are idle.
    double region_level = full_utilization;
};

// Adds demand that cannot stay in its region to the domains that may serve it, by their capacity.
void add_foreign(overflow_loads& loads, const domain_demand& demand) {
    double capacity = 0;
    for (const auto& [name, region] : loads.regions) {
        capacity += allows(demand, name) ? region.capacity : 0;
    }
    for (auto& each : loads.domains) {
        if (capacity > 0 && allows(demand, each.domain->region)) {
            const auto added = demand.per_second * each.domain->capacity / capacity;
            each.foreign += added;
            loads.regions[each.domain->region].foreign += added;
        }
    }
}

overflow_loads loads_of(std::span<const overflow_domain> domains) {
    overflow_loads loads;
    for (const auto& each : domains) {
        loads.domains.push_back({&each});
        loads.regions[each.region].capacity += each.capacity;
    }
    for (auto& each : loads.domains) {
        for (const auto& demand : each.domain->demands) {
            if (is_domestic(domains, *each.domain, demand)) {
                each.domestic += demand.per_second;
                loads.regions[each.domain->region].domestic += demand.per_second;
            } else {
                add_foreign(loads, demand);
            }
        }
    }
    double capacity = 0;
    double load = 0;
    for (const auto& [name, region] : loads.regions) {
        capacity += region.capacity;
        load += region.load();
    }
    if (capacity > 0) {
        loads.region_level = std::max(full_utilization, load / capacity);
    }
    return loads;
}

// Fills the domains of each region to the same level if the region has more than its domains should
// have, else to `full_utilization`.
void share_within_regions(overflow_loads& loads, overflow_shares& shares) {
    for (auto& each : loads.domains) {
        auto& region = loads.regions[each.domain->region];
        const auto level = region.capacity > 0
                               ? std::max(full_utilization, region.load() / region.capacity)
                               : full_utilization;
        const auto room = level * each.domain->capacity - each.domestic - each.foreign;
        each.excess = std::min(std::max(-room, 0.0), each.domestic);
        each.spare = std::max(room, 0.0);
        region.excess += each.excess;
        region.spare += each.spare;
    }
    for (const auto& from : loads.domains) {
        const auto& region = loads.regions[from.domain->region];
        for (const auto& to : loads.domains) {
            if (from.excess > 0 && to.spare > 0 && to.domain->region == from.domain->region) {
                const auto moved =
                    std::min(from.excess, from.excess / region.excess * region.spare);
                shares[from.domain->name][to.domain->name] =
                    moved * to.spare / region.spare / from.domestic;
            }
        }
    }
    // What is left below the level between regions, over the domains in proportion to their spare
    // capacity; over those of a full region by capacity.
    for (auto& each : loads.domains) {
        const auto& region = loads.regions[each.domain->region];
        const auto left = std::max(region.capacity * loads.region_level - region.load(), 0.0);
        const bool is_full = region.load() >= region.capacity * full_utilization;
        if (is_full || region.spare <= 0) {
            each.spare = region.capacity > 0 ? left * each.domain->capacity / region.capacity : 0;
        } else {
            each.spare = left * each.spare / region.spare;
        }
    }
}

// Requests per second that a domain wants to send to a domain of another region.
double wanted_between(const overflow_loads& loads, const domain_load& from, const domain_load& to) {
    if (from.domain->region == to.domain->region || to.spare <= 0 || from.domestic <= 0) {
        return 0;
    }
    const auto& region = loads.regions.at(from.domain->region);
    const auto over = region.load() - region.capacity * loads.region_level;
    if (over <= 0) {
        return 0;
    }
    const auto excess = std::min(over, region.domestic) * from.domestic / region.domestic;
    double may_cross = 0;
    for (const auto& demand : from.domain->demands) {
        may_cross += allows(demand, from.domain->region) && allows(demand, to.domain->region)
                         ? demand.per_second
                         : 0;
    }
    double spare = 0;
    for (const auto& other : loads.domains) {
        spare += other.domain->region == from.domain->region ? 0 : other.spare;
    }
    return std::min(excess, may_cross) * to.spare / spare;
}

void share_between_regions(const overflow_loads& loads, overflow_shares& shares) {
    std::map<std::string, std::map<std::string, double>> crossing;
    for (const auto& to : loads.domains) {
        double wanted = 0;
        for (const auto& from : loads.domains) {
            wanted += wanted_between(loads, from, to);
        }
        for (const auto& from : loads.domains) {
            const auto own = wanted_between(loads, from, to);
            if (own > 0) {
                crossing[from.domain->name][to.domain->name] =
                    own * std::min(1.0, to.spare / wanted) / from.domestic;
            }
        }
    }
    for (const auto& [from, destinations] : crossing) {
        double leaving = 0;
        for (const auto& [to, share] : destinations) {
            leaving += share;
        }
        for (auto& [to, share] : shares[from]) {
            share *= std::max(1 - leaving, 0.0);
        }
        shares[from].insert(destinations.begin(), destinations.end());
    }
}

}  // namespace detail

bool is_domestic(std::span<const overflow_domain> domains, const overflow_domain& from,
                 const domain_demand& demand) {
    return detail::allows(demand, from.region) &&
           std::any_of(domains.begin(), domains.end(), [&](const auto& each) {
               return each.region == from.region && each.capacity > 0;
           });
}

overflow_shares plan_overflow(std::span<const overflow_domain> domains) {
    overflow_shares shares;
    auto loads = detail::loads_of(domains);
    detail::share_within_regions(loads, shares);
    detail::share_between_regions(loads, shares);
    for (auto& [from, destinations] : shares) {
        std::erase_if(destinations,
                      [](const auto& share) { return share.second < detail::min_share; });
    }
    return shares;
}

double share_between(const overflow_shares& shares, const std::string& from,
                     const std::string& to) {
    const auto known = shares.find(from);
    if (known == shares.end()) {
        return from == to ? 1 : 0;
    }
    if (from != to) {
        const auto share = known->second.find(to);
        return share == known->second.end() ? 0 : share->second;
    }
    double staying = 1;
    for (const auto& [domain, share] : known->second) {
        staying -= share;
    }
    return std::max(staying, 0.0);
}

bool differ(const overflow_by_service& announced, const overflow_by_service& now) {
    const auto changed = [](const auto& one, const auto& two) {
        return std::any_of(two.begin(), two.end(), [&](const auto& share) {
            const auto other = one.find(share.first);
            const auto before = other == one.end() ? 0 : other->second;
            // A share that begins or ends is announced as well: it decides about the quotas.
            return (before > 0) != (share.second > 0) ||
                   std::abs(before - share.second) >= detail::min_share_change;
        });
    };
    return !std::equal(announced.begin(), announced.end(), now.begin(), now.end(),
                       [&](const auto& one, const auto& two) {
                           return one.first == two.first && !changed(one.second, two.second) &&
                                  !changed(two.second, one.second);
                       });
}

void apply_overflow(overflow_table& table, const overflow_by_service& shares) {
    decltype(table.by_service) next;
    for (const auto& [service, domains] : shares) {
        auto& buckets = next[service];
        const auto known = table.by_service.find(service);
        for (const auto& [domain, share] : domains) {
            auto& bucket = buckets[domain];
            if (known != table.by_service.end()) {
                const auto before = known->second.find(domain);
                bucket.tokens = before == known->second.end() ? 0 : before->second.tokens;
            }
            bucket.share = std::clamp(share, 0.0, 1.0);
        }
    }
    table.by_service = std::move(next);
}

bool is_known(const overflow_table& table, std::string_view service) {
    return table.by_service.contains(service);
}

void earn_tokens(overflow_table& table, std::string_view service) {
    const auto known = table.by_service.find(service);
    if (known == table.by_service.end()) {
        return;
    }
    for (auto& [domain, bucket] : known->second) {
        bucket.tokens = std::min(bucket.tokens + bucket.share, detail::max_overflow_tokens);
    }
}

bool has_token(const overflow_table& table, std::string_view service, std::string_view domain,
               boot_time now) {
    const auto known = table.by_service.find(service);
    if (known == table.by_service.end() || now >= table.valid_until) {
        return false;
    }
    const auto bucket = known->second.find(domain);
    return bucket != known->second.end() && bucket->second.tokens >= 1;
}

void take_token(overflow_table& table, std::string_view service, std::string_view domain) {
    const auto known = table.by_service.find(service);
    if (known == table.by_service.end()) {
        return;
    }
    if (const auto bucket = known->second.find(domain); bucket != known->second.end()) {
        bucket->second.tokens = std::max(bucket->second.tokens - 1, 0.0);
    }
}

void record_transfer(transfer_size& size, std::uint64_t request_bytes,
                     std::uint64_t response_bytes) {
    size.samples = std::min(size.samples + 1, detail::size_samples);
    size.request_bytes += (static_cast<double>(request_bytes) - size.request_bytes) / size.samples;
    size.response_bytes +=
        (static_cast<double>(response_bytes) - size.response_bytes) / size.samples;
}

double expected_bytes(const transfer_size* known, request_kind kind) {
    if (known != nullptr && known->samples > 0) {
        return known->request_bytes + known->response_bytes;
    }
    return kind == request_kind::upload || kind == request_kind::download
               ? detail::assumed_large_bytes
               : 0;
}

bool is_large_transfer(double bytes) {
    return bytes > detail::large_bytes;
}

std::string_view to_string(target_place place) {
    switch (place) {
        case target_place::own_domain:
            return "own_domain";
        case target_place::own_region:
            return "own_region";
        case target_place::other_region:
            return "other_region";
    }
    return "unknown";
}

double transfer_cost_ms(target_place place, double bytes) {
    switch (place) {
        case target_place::own_domain:
            return 0;
        case target_place::own_region:
            return detail::domain_round_trip_ms + bytes / detail::link_bytes_per_ms;
        case target_place::other_region:
            break;
    }
    return detail::region_round_trip_ms +
           bytes / (detail::link_bytes_per_ms * detail::region_link_fraction);
}

std::string_view to_string(leave_reason reason) {
    switch (reason) {
        case leave_reason::none:
            return "none";
        case leave_reason::late_at_home:
            return "late_at_home";
        case leave_reason::saves_time:
            return "saves_time";
        case leave_reason::home_lost:
            return "home_lost";
    }
    return "unknown";
}

leave_reason reason_to_leave(const leaving_request& request) {
    const auto away_ms = request.away_ms + transfer_cost_ms(request.place, request.bytes);
    const bool must_stay_in_region = request.place == target_place::other_region &&
                                     is_large_transfer(request.bytes) && request.region_has_room;
    const bool is_late = request.left_ms && request.home_ms > *request.left_ms;
    const bool is_in_time = request.home_has_room && !is_late;
    if (must_stay_in_region || is_in_time || away_ms >= request.home_ms) {
        return leave_reason::none;
    }
    return is_late && away_ms <= *request.left_ms ? leave_reason::late_at_home
                                                  : leave_reason::saves_time;
}

}  // namespace mimosavalve::gateway
