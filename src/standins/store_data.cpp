#include "mimosavalve/standins/store_data.hpp"

#include <algorithm>
#include <utility>

#include "mimosavalve/core/error.hpp"

namespace mimosavalve::standins {

namespace {

void detach(store_data& data, std::string_view key, std::uint64_t lease) {
    const auto found = data.leases.find(lease);
    if (found != data.leases.end()) {
        found->second.keys.erase(std::string(key));
    }
}

std::vector<std::string> end_lease(store_data& data,
                                   std::map<std::uint64_t, store_lease>::iterator lease) {
    std::vector<std::string> deleted;
    for (const auto& key : lease->second.keys) {
        data.values.erase(key);
        ++data.last_revision;
        deleted.push_back(key);
    }
    data.leases.erase(lease);
    return deleted;
}

std::int64_t second_of(steady_time now) {
    return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

std::size_t ring_index(std::int64_t second) {
    return static_cast<std::size_t>(second) % counted_seconds;
}

// Clears the seconds that have passed without calls.
void advance(call_counts& counts, steady_time now) {
    const auto second = second_of(now);
    const auto first =
        std::max(counts.second + 1, second + 1 - static_cast<std::int64_t>(counted_seconds));
    for (auto passed = first; passed <= second; ++passed) {
        for (auto& kind : counts.kinds) {
            kind.seconds.at(ring_index(passed)) = 0;
        }
    }
    counts.second = std::max(counts.second, second);
}

}  // namespace

const store_value* find_value(const store_data& data, std::string_view key) {
    const auto found = data.values.find(key);
    return found == data.values.end() ? nullptr : &found->second;
}

std::uint64_t revision_of(const store_data& data, std::string_view key) {
    const auto* const value = find_value(data, key);
    return value == nullptr ? 0 : value->revision;
}

std::uint64_t compare_and_swap(store_data& data, std::string_view key, std::uint64_t expected,
                               std::string value, std::uint64_t lease, std::error_code& error) {
    const auto present = revision_of(data, key);
    if (present != expected) {
        error = errc::store_conflict;
        return present;
    }
    const auto holder = data.leases.find(lease);
    if (lease != 0 && holder == data.leases.end()) {
        error = errc::store_lease_expired;
        return present;
    }
    if (present != 0) {
        detach(data, key, find_value(data, key)->lease);
    }
    if (lease != 0) {
        holder->second.keys.insert(std::string(key));
    }
    const auto revision = ++data.last_revision;
    data.values.insert_or_assign(std::string(key), store_value{std::move(value), revision, lease});
    return revision;
}

std::uint64_t grant_lease(store_data& data, std::chrono::milliseconds ttl, steady_time now) {
    const auto number = ++data.last_lease;
    data.leases[number] = store_lease{ttl, now + ttl, {}};
    return number;
}

std::error_code renew_lease(store_data& data, std::uint64_t lease, steady_time now) {
    const auto found = data.leases.find(lease);
    if (found == data.leases.end()) {
        return errc::store_lease_expired;
    }
    found->second.ends = now + found->second.ttl;
    return {};
}

std::vector<std::string> revoke_lease(store_data& data, std::uint64_t lease,
                                      std::error_code& error) {
    const auto found = data.leases.find(lease);
    if (found == data.leases.end()) {
        error = errc::store_lease_expired;
        return {};
    }
    return end_lease(data, found);
}

std::vector<std::string> expire_leases(store_data& data, steady_time now) {
    std::vector<std::string> deleted;
    for (auto lease = data.leases.begin(); lease != data.leases.end();) {
        const auto next = std::next(lease);
        if (lease->second.ends <= now) {
            auto keys = end_lease(data, lease);
            std::move(keys.begin(), keys.end(), std::back_inserter(deleted));
        }
        lease = next;
    }
    return deleted;
}

std::optional<steady_time> next_lease_end(const store_data& data) {
    std::optional<steady_time> next;
    for (const auto& [number, lease] : data.leases) {
        next = next ? std::min(*next, lease.ends) : lease.ends;
    }
    return next;
}

std::string_view to_string(call_kind kind) {
    switch (kind) {
        case call_kind::read:
            return "read";
        case call_kind::write:
            return "write";
        case call_kind::lease_grant:
            return "lease_grant";
        case call_kind::lease_renew:
            return "lease_renew";
        case call_kind::lease_revoke:
            return "lease_revoke";
        case call_kind::watch:
            return "watch";
    }
    return "unknown";
}

void count_call(call_counts& counts, call_kind kind, steady_time now) {
    advance(counts, now);
    auto& counter = counts.kinds.at(static_cast<std::size_t>(kind));
    ++counter.total;
    ++counter.seconds.at(ring_index(counts.second));
}

std::uint64_t calls_this_second(call_counts& counts, steady_time now) {
    advance(counts, now);
    std::uint64_t calls = 0;
    for (const auto& kind : counts.kinds) {
        calls += kind.seconds.at(ring_index(counts.second));
    }
    return calls;
}

std::uint64_t total_calls(const call_counts& counts, call_kind kind) {
    return counts.kinds.at(static_cast<std::size_t>(kind)).total;
}

std::vector<std::uint64_t> recent_calls(call_counts& counts, call_kind kind, steady_time now) {
    advance(counts, now);
    const auto& ring = counts.kinds.at(static_cast<std::size_t>(kind)).seconds;
    std::vector<std::uint64_t> calls;
    calls.reserve(counted_seconds);
    for (std::size_t age = counted_seconds; age > 0; --age) {
        calls.push_back(ring.at(ring_index(counts.second + 1 - static_cast<std::int64_t>(age))));
    }
    return calls;
}

}  // namespace mimosavalve::standins
