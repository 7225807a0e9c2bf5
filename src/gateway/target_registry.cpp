#include "mimosavalve/gateway/target_registry.hpp"

#include <algorithm>
#include <utility>

namespace mimosavalve::gateway {

namespace detail {

// Ends of a cold time that differ by less are the same. A target within its cold time repeats the
// time that remains with each report, and the reports arrive with varying delay.
constexpr milliseconds cold_end_tolerance{100};

bool has_same_cold_time(const target_entry& left, const target_entry& right) {
    const auto difference = left.cold_until < right.cold_until ? right.cold_until - left.cold_until
                                                               : left.cold_until - right.cold_until;
    return (left.remaining_cold_ms > 0) == (right.remaining_cold_ms > 0) &&
           difference <= cold_end_tolerance;
}

bool is_not_newer(const target_entry& entry, const gone_target& gone) {
    return std::pair(entry.started_unix_ms, entry.sequence) <=
           std::pair(gone.started_unix_ms, gone.sequence);
}

void remember(std::map<std::string, gone_target>& gone, const std::string& id,
              const gone_target& added) {
    const auto [kept, is_new] = gone.try_emplace(id, added);
    if (!is_new && std::pair(kept->second.started_unix_ms, kept->second.sequence) <
                       std::pair(added.started_unix_ms, added.sequence)) {
        kept->second = added;
    }
}

}  // namespace detail

void forget_gone_targets(registry_state& state, boot_time now) {
    auto& gone = state.gone;
    for (auto& [id, target] : gone) {
        if (target.forget_at == boot_time()) {
            target.forget_at = now + gone_target_time;
        }
    }
    std::erase_if(gone, [&](const auto& named) { return now >= named.second.forget_at; });
    while (gone.size() > max_gone_targets) {
        gone.erase(std::min_element(gone.begin(), gone.end(), [](const auto& one, const auto& two) {
            return one.second.forget_at < two.second.forget_at;
        }));
    }
}

bool is_older(const target_entry& entry, const target_entry& other) {
    return std::pair(entry.started_unix_ms, entry.sequence) <
           std::pair(other.started_unix_ms, other.sequence);
}

registry_state without_older_entries(const registry_state& state, registry_state next,
                                     boot_time now) {
    for (const auto& [id, target] : state.gone) {
        detail::remember(next.gone, id, target);
    }
    for (const auto& [id, entry] : state.targets) {
        const auto found = next.targets.find(id);
        if (found == next.targets.end()) {
            detail::remember(next.gone, id, {entry.started_unix_ms, entry.sequence, {}});
        } else if (is_older(found->second, entry)) {
            found->second = entry;
        }
    }
    forget_gone_targets(next, now);
    std::erase_if(next.targets, [&](const auto& named) {
        const auto found = next.gone.find(named.first);
        return found != next.gone.end() && detail::is_not_newer(named.second, found->second);
    });
    std::erase_if(next.gone, [&](const auto& named) { return next.targets.contains(named.first); });
    return next;
}

registry_state with_news_from_before(const registry_state& state, const registry_state& other,
                                     boot_time now) {
    auto next = state;
    for (const auto& [id, entry] : other.targets) {
        const auto found = next.targets.find(id);
        if (found != next.targets.end() && is_older(found->second, entry)) {
            found->second = entry;
        }
    }
    for (const auto& [id, target] : other.gone) {
        detail::remember(next.gone, id, target);
    }
    return without_older_entries(state, std::move(next), now);
}

void set_cold_deadline(target_entry& entry, boot_time received_at) {
    entry.cold_until = entry.remaining_cold_ms > 0
                           ? received_at + milliseconds(entry.remaining_cold_ms)
                           : boot_time{};
}

bool is_same_for_routing(const target_entry& left, const target_entry& right) {
    return left.id == right.id && left.service == right.service && left.address == right.address &&
           left.failure_domain == right.failure_domain && left.slots == right.slots &&
           left.leaving == right.leaving && detail::has_same_cold_time(left, right) &&
           left.started_unix_ms == right.started_unix_ms;
}

void record_registry_outage(registry_outage& outage, boot_time now) {
    outage.keep_missing_until = now + entry_rewrite_time;
}

registry_state merge_snapshot(const registry_state& state, const registry_snapshot& snapshot,
                              const registry_outage& outage, boot_time now) {
    if (snapshot.revision < state.revision) {
        return state;
    }
    registry_state next;
    next.revision = snapshot.revision;
    next.evacuated_domains = snapshot.evacuated_domains;
    for (const auto& entry : snapshot.targets) {
        next.targets.insert_or_assign(entry.id, entry);
    }
    for (const auto& [id, entry] : state.targets) {
        if (next.targets.contains(id)) {
            continue;
        }
        if (now < outage.keep_missing_until) {
            next.targets.emplace(id, entry);
        }
    }
    return without_older_entries(state, std::move(next), now);
}

bool differs_for_routing(const registry_state& left, const registry_state& right) {
    return left.evacuated_domains != right.evacuated_domains ||
           !std::equal(left.targets.begin(), left.targets.end(), right.targets.begin(),
                       right.targets.end(), [](const auto& one, const auto& other) {
                           return is_same_for_routing(one.second, other.second);
                       });
}

}  // namespace mimosavalve::gateway
