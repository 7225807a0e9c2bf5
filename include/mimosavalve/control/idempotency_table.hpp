#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_set>

#include "mimosavalve/control/timing.hpp"

namespace mimosavalve::control {

enum class claim_status {
    granted,    ///< The first attempt; it may be sent.
    duplicate,  ///< The key is known; its first attempt may have run.
    too_old,    ///< First issued before the table's memory (or by a wrong clock); may have run.
    no_leader,  ///< Nobody may grant it now; not run.
};

/// A key that is claimed, with the wall clock time of its first attempt.
struct claimed_key {
    std::uint64_t first_attempt_unix_ms = 0;
    std::string key;
};

/// Keys of non-idempotent requests, in the memory of one shard's leader.
///
/// A key is granted only when its first attempt is later than `began_unix_ms` plus twice the clock
/// skew and no later than now plus the skew. So a key that an earlier leader granted is never
/// granted again, as long as wall clocks differ by at most the skew.
struct idempotency_table {
    std::uint64_t began_unix_ms = 0;
    std::uint64_t forgotten_unix_ms = 0;   ///< Keys first issued up to here may be forgotten.
    std::deque<claimed_key> oldest_first;  ///< In order of their claims.
    std::unordered_set<std::string> known;
};

/// An empty table that refuses all keys first issued before now.
idempotency_table start_table(std::uint64_t now_unix_ms);

/// Decides on a key and remembers it when granted. Bounded by `most_claims` and
/// `claim_retention`; a forgotten key is refused as too old.
claim_status claim(idempotency_table& table, std::string_view key,
                   std::uint64_t first_attempt_unix_ms, std::uint64_t now_unix_ms,
                   const timing& intervals);

}  // namespace mimosavalve::control
