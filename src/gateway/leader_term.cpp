#include "mimosavalve/gateway/leader_term.hpp"

#include <algorithm>
#include <vector>

#include "mimosavalve/gateway/platform_port.hpp"

namespace mimosavalve::gateway {

namespace detail {

// A leader must assign fewer fences in its term; more would overlap those of later epochs.
constexpr std::uint64_t fences_per_epoch = 4096;
// A store that comes back older loses fewer than 2^24 revisions, so fences rise over eras. Fences
// are sent as JSON numbers, which are exact up to 2^53.
constexpr unsigned fence_era_shift = 36;

// When the recorded instance last confirmed the leader's term; nothing: never.
std::optional<boot_time> confirmed_at(const router_instances::value_type& recorded,
                                      const evidence_by_host& evidence) {
    const auto found = evidence.find(recorded.first);
    if (found == evidence.end() || found->second.instance != recorded.second.id) {
        return std::nullopt;
    }
    return std::min(found->second.followed_at, found->second.store_lost_at);
}

// Whether the failure domains of the fleet are in several regions.
bool has_several_regions(const region_map& regions) {
    return std::any_of(regions.begin(), regions.end(), [&](const auto& domain) {
        return domain.second != regions.begin()->second;
    });
}

}  // namespace detail

std::optional<boot_time> lease_without_store(const router_instances& recorded,
                                             const evidence_by_host& evidence) {
    std::vector<boot_time> confirmed;
    for (const auto& entry : recorded) {
        if (const auto time = detail::confirmed_at(entry, evidence)) {
            confirmed.push_back(*time);
        }
    }
    const auto needed = recorded.size() / 2 + 1;
    if (recorded.empty() || confirmed.size() < needed) {
        return std::nullopt;
    }
    std::sort(confirmed.rbegin(), confirmed.rend());
    const auto oldest_needed = confirmed[needed - 1];
    if (oldest_needed == boot_time{}) {
        return std::nullopt;
    }
    return oldest_needed + confirmation_time;
}

std::optional<boot_time> lease_by_all_parts(const router_instances& recorded,
                                            const evidence_by_host& evidence,
                                            const region_map& regions) {
    auto term_end = lease_without_store(recorded, evidence);
    if (!term_end) {
        return std::nullopt;
    }
    const bool by_region = detail::has_several_regions(regions);
    std::map<std::string_view, boot_time> last_by_part;
    for (const auto& [domain, region] : regions) {
        last_by_part[by_region ? region : domain];
    }
    for (const auto& entry : recorded) {
        const auto time = detail::confirmed_at(entry, evidence);
        if (!time) {
            continue;
        }
        const std::string_view domain = evidence.at(entry.first).failure_domain;
        const auto part = last_by_part.find(by_region ? region_of(regions, domain) : domain);
        if (part != last_by_part.end()) {
            part->second = std::max(part->second, *time);
        }
    }
    for (const auto& [part, time] : last_by_part) {
        term_end = std::min(*term_end, time + confirmation_time);
    }
    return term_end;
}

bool may_grant_long_holds(const router_instances& recorded, const evidence_by_host& evidence) {
    std::size_t counted = 0;
    for (const auto& [host, instance] : recorded) {
        const auto found = evidence.find(host);
        counted += found != evidence.end() && found->second.instance == instance.id &&
                           found->second.long_holds_known_at != boot_time{}
                       ? 1
                       : 0;
    }
    return counted > recorded.size() / 2;
}

bool would_report_long_holds(const router_instances& recorded, const evidence_by_host& evidence) {
    const auto following = std::count_if(recorded.begin(), recorded.end(), [&](const auto& entry) {
        const auto found = evidence.find(entry.first);
        return found != evidence.end() && found->second.instance == entry.second.id;
    });
    return static_cast<std::size_t>(following) >= recorded.size() - recorded.size() / 2;
}

bool has_taken_over(const router_instances& recorded, const evidence_by_host& evidence) {
    std::size_t counted = 0;
    for (const auto& [host, instance] : recorded) {
        counted += evidence.contains(host) ? 1 : 0;
    }
    return counted >= recorded.size() - recorded.size() / 2;
}

boot_time inherited_holds_end(const hold_times& holds, const evidence_by_host& evidence,
                              boot_time now, milliseconds lease_left) {
    auto end = now + std::max(confirmation_time, lease_left) + holds.normal;
    for (const auto& [host, router] : evidence) {
        if (router.long_holds_reported_at) {
            end = std::max(end, *router.long_holds_reported_at + confirmation_time + holds.max);
        }
    }
    return end;
}

boot_time isolated_term_end(const hold_times& holds, boot_time lease_end) {
    return long_holds_end(holds, lease_end) - holds.normal;
}

boot_time long_holds_end(const hold_times& holds, boot_time lease_end) {
    return lease_end + std::min(holds.max, max_hold_after_lease);
}

bool is_stale(const leader_identity& leader, std::uint64_t revision) {
    return leader.store_era && *leader.store_era < store_era_of(revision);
}

bool is_current(std::uint64_t record_epoch, std::uint64_t epoch) {
    return record_epoch == 0 || store_era_of(record_epoch) == store_era_of(epoch);
}

std::uint64_t first_fence(std::uint64_t epoch) {
    const auto era = store_era_of(epoch);
    const auto number = epoch - (era << store_era_shift);
    return (era << detail::fence_era_shift) + number * detail::fences_per_epoch;
}

}  // namespace mimosavalve::gateway
