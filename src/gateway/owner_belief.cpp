#include "mimosavalve/gateway/owner_belief.hpp"

#include <algorithm>

#include "mimosavalve/gateway/peer_messages.hpp"

namespace mimosavalve::gateway {

namespace detail {

// A grant that was renewed late is in force after about this time: half of the leader's renewal
// interval.
constexpr milliseconds first_owner_pause{300};
// The usual hold of a grant (2.4 s): the keys of a lost owner move after about this time.
constexpr milliseconds max_owner_pause{2400};
// A target that has moved writes its entry again within a few seconds.
constexpr milliseconds address_pause{5000};

milliseconds pause_after(std::uint32_t answers) {
    auto pause = first_owner_pause;
    for (std::uint32_t count = 1; count < answers && pause < max_owner_pause; ++count) {
        pause *= 2;
    }
    return std::min(pause, max_owner_pause);
}

bool is_same_version(const contradicted_owner& known, const key_segment& segment) {
    return known.fence == segment.fence && known.owner == segment.owner &&
           known.owner_instance == segment.owner_instance;
}

milliseconds time_left(boot_time until, boot_time now) {
    return until > now ? std::chrono::ceil<milliseconds>(until - now) : milliseconds(0);
}

// The contradiction of the range's present owner; null: there is none.
template <typename Beliefs>
auto* find_contradiction(Beliefs& beliefs, std::string_view service, const key_segment& segment) {
    const auto ranges = beliefs.owners.find(service);
    using found_type = decltype(&ranges->second.begin()->second);
    if (ranges == beliefs.owners.end()) {
        return found_type(nullptr);
    }
    const auto found = ranges->second.find(segment.first);
    return found != ranges->second.end() && is_same_version(found->second, segment)
               ? &found->second
               : found_type(nullptr);
}

}  // namespace detail

bool record_misdirected(owner_beliefs& beliefs, std::string_view service, const key_map& map,
                        std::uint32_t key, const key_segment& sent, boot_time sent_at,
                        boot_time now) {
    const auto& segment = segment_of(map, key);
    if (segment.owner.empty() || segment.moving || segment.owner != sent.owner ||
        segment.owner_instance != sent.owner_instance || segment.fence != sent.fence) {
        return false;
    }
    auto& ranges = beliefs.owners[std::string(service)];
    std::erase_if(ranges, [&](const auto& known) {
        const auto& present = segment_of(map, known.first);
        return present.first != known.first || !detail::is_same_version(known.second, present);
    });
    auto& known = ranges[segment.first];
    if (known.answers > 0 && sent_at < known.since) {
        return false;
    }
    known.owner = segment.owner;
    known.owner_instance = segment.owner_instance;
    known.fence = segment.fence;
    known.since = now;
    ++known.answers;
    known.paused_until = now + detail::pause_after(known.answers);
    known.is_reported = false;
    return true;
}

const contradicted_owner* contradiction_of(const owner_beliefs& beliefs, std::string_view service,
                                           const key_segment& segment) {
    return detail::find_contradiction(beliefs, service, segment);
}

milliseconds owner_pause_left(const owner_beliefs& beliefs, std::string_view service,
                              const key_segment& segment, boot_time now) {
    const auto* known = contradiction_of(beliefs, service, segment);
    return known == nullptr ? milliseconds(0) : detail::time_left(known->paused_until, now);
}

void take_probe(owner_beliefs& beliefs, std::string_view service, const key_segment& segment,
                boot_time now) {
    if (auto* known = detail::find_contradiction(beliefs, service, segment); known != nullptr) {
        known->paused_until = now + detail::pause_after(known->answers);
    }
}

bool confirm_owner(owner_beliefs& beliefs, std::string_view service, const key_segment& sent,
                   boot_time sent_at) {
    const auto ranges = beliefs.owners.find(service);
    if (ranges == beliefs.owners.end()) {
        return false;
    }
    return std::erase_if(ranges->second, [&](const auto& known) {
               return sent.first <= known.first && known.first <= sent.last &&
                      detail::is_same_version(known.second, sent) && sent_at >= known.second.since;
           }) > 0;
}

bool record_moved(owner_beliefs& beliefs, const target_entry& entry, boot_time now) {
    std::erase_if(beliefs.addresses, [&](const auto& known) { return known.second.until <= now; });
    auto& known = beliefs.addresses[entry.id];
    const bool is_news =
        known.started_unix_ms != entry.started_unix_ms || known.address != entry.address;
    if (is_news) {
        known = {entry.started_unix_ms, entry.address, now + detail::address_pause};
    }
    return is_news;
}

milliseconds address_pause_left(const owner_beliefs& beliefs, const target_entry& entry,
                                boot_time now) {
    const auto known = beliefs.addresses.find(entry.id);
    return known != beliefs.addresses.end() &&
                   known->second.started_unix_ms == entry.started_unix_ms &&
                   known->second.address == entry.address
               ? detail::time_left(known->second.until, now)
               : milliseconds(0);
}

std::vector<misdirected_report> take_misdirected_reports(owner_beliefs& beliefs) {
    std::vector<misdirected_report> reports;
    for (auto& [service, ranges] : beliefs.owners) {
        for (auto& [first, known] : ranges) {
            if (!known.is_reported) {
                known.is_reported = true;
                reports.push_back({service, first, known.owner, known.owner_instance, known.fence});
            }
        }
    }
    return reports;
}

std::map<std::string, std::uint64_t> take_moved_reports(owner_beliefs& beliefs) {
    std::map<std::string, std::uint64_t> reports;
    for (auto& [id, known] : beliefs.addresses) {
        if (!known.is_reported) {
            known.is_reported = true;
            reports.emplace(id, known.started_unix_ms);
        }
    }
    return reports;
}

}  // namespace mimosavalve::gateway
