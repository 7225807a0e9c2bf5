#include "mimosavalve/control/idempotency_table.hpp"

#include <algorithm>

namespace mimosavalve::control {

namespace detail {

void discard_oldest(idempotency_table& table) {
    const auto& oldest = table.claims_oldest_first.front();
    table.discarded_until_unix_ms =
        std::max(table.discarded_until_unix_ms, oldest.first_attempt_unix_ms);
    table.claimed_keys.erase(oldest.key);
    table.claims_oldest_first.pop_front();
}

void discard_expired_claims(idempotency_table& table, std::uint64_t now_unix_ms,
                            const timing& intervals) {
    const auto retention = static_cast<std::uint64_t>(intervals.claim_retention.count());
    const auto limit = now_unix_ms > retention ? now_unix_ms - retention : 0;
    while (!table.claims_oldest_first.empty() &&
           table.claims_oldest_first.front().first_attempt_unix_ms < limit) {
        discard_oldest(table);
    }
    table.discarded_until_unix_ms = std::max(table.discarded_until_unix_ms, limit);
}

}  // namespace detail

idempotency_table start_idempotency_table(std::uint64_t now_unix_ms) {
    idempotency_table table;
    table.started_unix_ms = now_unix_ms;
    return table;
}

claim_status claim(idempotency_table& table, std::string_view key,
                   std::uint64_t first_attempt_unix_ms, std::uint64_t now_unix_ms,
                   const timing& intervals) {
    detail::discard_expired_claims(table, now_unix_ms, intervals);
    std::string name(key);
    if (table.claimed_keys.contains(name)) {
        return claim_status::duplicate;
    }
    const auto skew = static_cast<std::uint64_t>(intervals.max_claim_clock_skew.count());
    const bool too_old = first_attempt_unix_ms <= table.started_unix_ms + 2 * skew ||
                         first_attempt_unix_ms <= table.discarded_until_unix_ms;
    // The next leader would accept a key whose time is in the future as new.
    const bool too_new = first_attempt_unix_ms > now_unix_ms + skew;
    if (too_old || too_new) {
        return claim_status::too_old;
    }
    if (table.claims_oldest_first.size() >= intervals.max_claims) {
        detail::discard_oldest(table);
    }
    // Discarding the oldest claim may have moved the limit past the time of this key.
    if (first_attempt_unix_ms <= table.discarded_until_unix_ms) {
        return claim_status::too_old;
    }
    table.claims_oldest_first.push_back({first_attempt_unix_ms, name});
    table.claimed_keys.insert(std::move(name));
    return claim_status::granted;
}

}  // namespace mimosavalve::control
