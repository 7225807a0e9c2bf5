#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "mimosavalve/gateway/clock.hpp"
#include "mimosavalve/gateway/key_map.hpp"
#include "mimosavalve/gateway/target_registry.hpp"

// What a router believes about the places of keys and targets, as far as answers 421 have
// contradicted it. Addresses the load of requests that are sent again and again to a target that
// refuses each of them, until the router's key map or registry changes.

namespace mimosavalve::gateway {

struct misdirected_report;

/// A version of an owner that has answered 421: it does not hold the keys of the range.
struct contradicted_owner {
    std::string owner;
    std::uint64_t owner_instance = 0;  ///< See `key_segment`.
    std::uint64_t fence = 0;           ///< Of the range when the request was sent.
    /// Latest answer 421 to a request that was sent after the one before it.
    boot_time since;
    boot_time paused_until;     ///< Then one request is sent as a probe.
    std::uint32_t answers = 0;  ///< Number of such answers in a row.
    bool is_reported = false;   ///< Whether the leader has been told of the latest one.
};

/// An entry of the registry at whose address another target has answered.
struct contradicted_address {
    std::uint64_t started_unix_ms = 0;
    std::string address;
    boot_time until;  ///< Then the entry is believed again.
    bool is_reported = false;
};

/// Contradicted beliefs of one router. A new owner, fence or entry is believed again at once.
struct owner_beliefs {
    /// By service, then by the first key of the range; at most one for each range of the map.
    std::map<std::string, std::map<std::uint32_t, contradicted_owner>, std::less<>> owners;
    std::map<std::string, contradicted_address, std::less<>> addresses;  ///< By target id.
};

/// Records that the owner of a key has answered 421. `sent`: the range as it was when the request
/// was sent, at `sent_at`. Returns whether this is news: false if the map has changed since, or if
/// the request had been sent before the answer that is recorded already.
bool record_misdirected(owner_beliefs& beliefs, std::string_view service, const key_map& map,
                        std::uint32_t key, const key_segment& sent, boot_time sent_at,
                        boot_time now);

/// The contradiction of the present owner of a range; null: its owner is believed.
const contradicted_owner* contradiction_of(const owner_beliefs& beliefs, std::string_view service,
                                           const key_segment& segment);

/// Time until a request may be sent to the owner of the range, rounded up; 0: now.
milliseconds owner_pause_left(const owner_beliefs& beliefs, std::string_view service,
                              const key_segment& segment, boot_time now);

/// Counts a request to the owner of the range. If the owner is contradicted, the request is a
/// probe, and the next one is sent after another pause.
void take_probe(owner_beliefs& beliefs, std::string_view service, const key_segment& segment,
                boot_time now);

/// Records that the owner of the range has run a request that was sent at `sent_at`. Returns
/// whether this ends a contradiction.
bool confirm_owner(owner_beliefs& beliefs, std::string_view service, const key_segment& sent,
                   boot_time sent_at);

/// Records that another target has answered at the address of the entry. Returns whether this is
/// news.
bool record_moved(owner_beliefs& beliefs, const target_entry& entry, boot_time now);

/// Time until requests may be sent to the target by its present entry, rounded up; 0: now.
milliseconds address_pause_left(const owner_beliefs& beliefs, const target_entry& entry,
                                boot_time now);

/// Contradictions that have not been reported to the leader yet.
std::vector<misdirected_report> take_misdirected_reports(owner_beliefs& beliefs);
std::map<std::string, std::uint64_t> take_moved_reports(owner_beliefs& beliefs);

}  // namespace mimosavalve::gateway
