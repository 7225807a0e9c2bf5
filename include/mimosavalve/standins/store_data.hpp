#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "mimosavalve/core/types.hpp"

namespace mimosavalve::standins {

/// Longest value that the store takes.
constexpr std::size_t max_value_bytes = std::size_t{1} << 20U;

struct store_value {
    std::string bytes;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;  ///< 0: the value stays until it is replaced.
};

struct store_lease {
    std::chrono::milliseconds ttl{0};
    steady_time ends;
    std::set<std::string, std::less<>> keys;
};

/// Contents of the store stand-in. Revisions grow over the whole store.
struct store_data {
    std::uint64_t last_revision = 0;
    std::uint64_t last_lease = 0;
    std::map<std::string, store_value, std::less<>> values;
    std::map<std::uint64_t, store_lease> leases;
};

/// Value of a key, or null.
const store_value* find_value(const store_data& data, std::string_view key);

/// Revision of a key; 0 when it does not exist.
std::uint64_t revision_of(const store_data& data, std::string_view key);

/// Writes when the key has the expected revision (0: must not exist) and returns the new revision.
/// Errors: `store_conflict` (returns the present revision), `store_lease_expired`. A lease of 0
/// detaches the key from its lease. Leases that have ended are to be expired first.
std::uint64_t compare_and_swap(store_data& data, std::string_view key, std::uint64_t expected,
                               std::string value, std::uint64_t lease, std::error_code& error);

/// Returns the lease's number, which is never 0.
std::uint64_t grant_lease(store_data& data, std::chrono::milliseconds ttl, steady_time now);

/// Extends the lease by its time to live from `now`. `store_lease_expired` when it is gone.
std::error_code renew_lease(store_data& data, std::uint64_t lease, steady_time now);

/// Ends the lease and returns the keys deleted with it. `store_lease_expired` when it is gone.
std::vector<std::string> revoke_lease(store_data& data, std::uint64_t lease,
                                      std::error_code& error);

/// Ends all leases that are due at `now` and returns the keys deleted with them.
std::vector<std::string> expire_leases(store_data& data, steady_time now);

/// When the next lease ends.
std::optional<steady_time> next_lease_end(const store_data& data);

enum class call_kind {
    read,
    write,
    lease_grant,
    lease_renew,
    lease_revoke,
    watch,
};

constexpr std::size_t call_kind_count = 6;
constexpr std::size_t counted_seconds = 60;

std::string_view to_string(call_kind kind);

/// Calls of one kind, in total and in each of the last seconds.
struct call_counter {
    std::uint64_t total = 0;
    std::array<std::uint64_t, counted_seconds> seconds{};  ///< Ring, indexed by second modulo 60.
};

struct call_counts {
    std::array<call_counter, call_kind_count> kinds;
    std::int64_t second = 0;  ///< Second of the clock up to which the rings are valid.
};

void count_call(call_counts& counts, call_kind kind, steady_time now);

/// Calls of all kinds in the running second.
std::uint64_t calls_this_second(call_counts& counts, steady_time now);

std::uint64_t total_calls(const call_counts& counts, call_kind kind);

/// Calls of a kind in each of the last 60 seconds, the oldest first; the last is still running.
std::vector<std::uint64_t> recent_calls(call_counts& counts, call_kind kind, steady_time now);

}  // namespace mimosavalve::standins
