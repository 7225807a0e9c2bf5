#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mimosavalve/gateway/clock.hpp"

namespace mimosavalve::gateway {

/// Maximum number of slots of a target. The work of dividing them among routers grows with their
/// number, so an entry with more is odd and names no target.
inline constexpr std::uint32_t max_target_slots = 4096;

/// Entry that a target writes about itself into the store.
struct target_entry {
    std::string id;
    std::string service;
    std::string address;  ///< "IP:PORT".
    std::string failure_domain;
    std::uint32_t slots = 1;              ///< Requests that it runs at a time.
    bool leaving = false;                 ///< It will soon accept no new requests.
    std::uint32_t remaining_cold_ms = 0;  ///< Remaining cold time when the entry was written.
    /// Start of this instance, which identifies it; differs after a restart.
    std::uint64_t started_unix_ms = 0;
    std::uint64_t sequence = 0;  ///< Grows with each report of this instance.
    /// End of the cold time, from its receipt by this router; not set for a warm target.
    boot_time cold_until{};

    bool operator==(const target_entry&) const = default;
};

/// Whether `entry` was written before `other`: by an earlier instance, or earlier by the same one.
bool is_older(const target_entry& entry, const target_entry& other);

/// Last entry of a target that has gone. A store that comes back from an older copy has it again.
struct gone_target {
    std::uint64_t started_unix_ms = 0;
    std::uint64_t sequence = 0;
    boot_time forget_at{};  ///< Not set yet when it was received from another router.
};

/// Time for which a target that has gone is remembered. A store that is restored later than this
/// after a target has gone finds it silent: its entry expires after a few seconds.
inline constexpr milliseconds gone_target_time{60000};
/// Number of targets that are remembered; those that went first are forgotten first. More than go
/// within a minute, also when a failure domain is lost.
inline constexpr std::size_t max_gone_targets = 256;

/// All targets at one revision of the store.
struct registry_state {
    std::uint64_t revision = 0;
    std::map<std::string, target_entry> targets;  ///< By id.
    std::set<std::string> evacuated_domains;      ///< Targets there are sent no requests.
    std::map<std::string, gone_target> gone;      ///< By id.
};

/// Result of one complete read of the registry.
struct registry_snapshot {
    std::uint64_t revision = 0;
    std::vector<target_entry> targets;
    std::set<std::string> evacuated_domains;
};

/// Grace period after an outage of the store or its return from an older copy, when live targets
/// may not have written their entries again yet.
struct registry_outage {
    boot_time keep_missing_until;  ///< Until then, missing entries are kept.
};

/// Time after an outage of the store within which live targets write their entries again (the
/// platform's documentation of service discovery says "about two seconds").
inline constexpr milliseconds entry_rewrite_time{2500};

/// Records that the store is or was unavailable, and restarts the grace period.
void record_registry_outage(registry_outage& outage, boot_time now);

/// Forgets targets that went long ago, and starts the time of those that were received.
void forget_gone_targets(registry_state& state, boot_time now);

/// Returns the registry `next`, which follows `state`, without entries that are older than those
/// known: an older entry never replaces a newer one, and does not bring back a target that has
/// gone. The targets that `next` lacks are remembered as gone.
registry_state without_older_entries(const registry_state& state, registry_state next,
                                     boot_time now);

/// Returns `state` with the news that only `other` has, a registry from before the store came back
/// older: newer entries, and targets that have gone.
registry_state with_news_from_before(const registry_state& state, const registry_state& other,
                                     boot_time now);

/// Returns the state after a snapshot. A snapshot older than the state changes nothing, nor does an
/// older entry in a snapshot. Entries that are missing after an outage are kept until
/// `keep_missing_until`.
registry_state merge_snapshot(const registry_state& state, const registry_snapshot& snapshot,
                              const registry_outage& outage, boot_time now);

/// Sets the end of an entry's cold time from the time that remained when it was received.
void set_cold_deadline(target_entry& entry, boot_time received_at);

/// Whether two entries are equal except for the sequence number. The cold time is compared by its
/// end, of which differences of up to 100 ms are ignored: entries arrive with varying delay.
bool is_same_for_routing(const target_entry& left, const target_entry& right);

/// Whether evacuated domains differ, or targets in the sense of `is_same_for_routing`.
bool differs_for_routing(const registry_state& left, const registry_state& right);

}  // namespace mimosavalve::gateway
