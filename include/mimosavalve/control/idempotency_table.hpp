#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_set>

#include "mimosavalve/control/timing.hpp"

namespace mimosavalve::control {

enum class claim_status {
    granted,    ///< First attempt; it may be sent.
    duplicate,  ///< The key was claimed before; its first attempt may have run.
    too_old,    ///< First attempt is older than the table's records, or is dated in the future by a
                ///< wrong clock; it may have run.
    no_leader,  ///< No leader can grant the key now; the request has not run.
};

/// A claimed key with the wall clock time of its first attempt.
struct claimed_key {
    std::uint64_t first_attempt_unix_ms = 0;
    std::string key;
};

/// Claimed keys of non-idempotent requests. One shard's leader keeps them, in memory only.
///
/// A key is granted only when its first attempt is later than `started_unix_ms` plus twice the
/// clock skew and no later than now plus the skew. As long as wall clocks differ by at most the
/// skew, a key that an earlier leader granted is therefore never granted again.
struct idempotency_table {
    std::uint64_t started_unix_ms = 0;  ///< Start of the table; 0: not started.
    /// Keys whose first attempt is no later than this may have been discarded.
    std::uint64_t discarded_until_unix_ms = 0;
    /// Claims in the order in which they were granted.
    std::deque<claimed_key> claims_oldest_first;
    std::unordered_set<std::string> claimed_keys;
};

/// Returns an empty table, which refuses all keys whose first attempt is no later than now plus
/// twice the clock skew.
idempotency_table start_idempotency_table(std::uint64_t now_unix_ms);

/// Decides on a key and records it when granted. Discards claims whose first attempt is longer ago
/// than `claim_retention`, and the oldest one when there are `max_claims`; a key that may have been
/// discarded is refused as too old.
claim_status claim(idempotency_table& table, std::string_view key,
                   std::uint64_t first_attempt_unix_ms, std::uint64_t now_unix_ms,
                   const timing& intervals);

}  // namespace mimosavalve::control
