#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mimosavalve/gateway/clock.hpp"

namespace mimosavalve::gateway {

/// What a target says of itself in the store.
struct target_entry {
    std::string id;
    std::string service;
    std::string address;  ///< "IP:PORT".
    std::string failure_domain;
    std::uint32_t slots = 1;         ///< Requests that run at a time.
    bool leaving = false;            ///< Takes no new requests soon.
    std::uint32_t cold_left_ms = 0;  ///< How much longer the target is cold, when it was written.
    std::uint64_t started_unix_ms = 0;  ///< Start of this run; a restart under the same id differs.
    std::uint64_t sequence = 0;         ///< Grows with each report of this run.

    bool operator==(const target_entry&) const = default;
};

/// All targets at one revision of the store.
struct registry_state {
    std::uint64_t revision = 0;
    std::map<std::string, target_entry> targets;  ///< By id.
    std::set<std::string> evacuated_domains;      ///< Nothing more is sent to targets there.
};

/// What a reader saw in one complete read.
struct registry_reading {
    std::uint64_t revision = 0;
    std::vector<target_entry> targets;
    std::set<std::string> evacuated_domains;
    std::uint32_t ignored_entries = 0;  ///< Unreadable or incomplete.
};

/// Remembers which entries are missing only because the store was away.
struct registry_memory {
    boot_time lenient_until;  ///< Until then missing entries are kept.
};

/// Time after the return of the store within which live targets have written their entries again
/// (the platform's page on service discovery: "about two seconds").
inline constexpr milliseconds entry_return_time{2500};

/// Notes that reads of the registry fail; entries missing after their return may come back.
void note_registry_outage(registry_memory& memory, boot_time now);

/// The state after a reading. An older reading than the state changes nothing. Entries that are
/// missing after an outage stay as they were until `lenient_until`.
registry_state merge_reading(const registry_state& state, const registry_reading& reading,
                             const registry_memory& memory, boot_time now);

/// Whether the two entries are the same but for the sequence number and the remaining cold time.
bool is_same_use(const target_entry& left, const target_entry& right);

/// Whether the two differ in anything but sequence numbers and the remaining cold time.
bool differs_in_use(const registry_state& left, const registry_state& right);

}  // namespace mimosavalve::gateway
