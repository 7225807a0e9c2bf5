#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "mimosavalve/gateway/leader_placement.hpp"
#include "mimosavalve/gateway/peer_messages.hpp"
#include "router_core.hpp"

namespace mimosavalve::gateway {

/// State of the fleet and the store that the parts of the control side share.
struct fleet_state {
    std::uint64_t instance = 0;  ///< Random number chosen at each start of this process.
    /// The process is stopping: it ends its leadership as soon as it can and follows no leader.
    bool stopping = false;
    /// This router has recorded itself as leader in the store and has not stepped down.
    bool leading = false;
    leader_identity leader;          ///< Current leader; epoch 0: unknown.
    std::uint64_t newest_epoch = 0;  ///< Highest epoch of any leader that this router has received.
    bool store_responsive = true;    ///< Whether the last call to the store was answered.
    boot_time store_lost_at;         ///< When it was last lost or regained.
    /// Latest era of the store that this router has seen.
    std::optional<std::uint64_t> store_era;
    /// Whether this router has seen that the store came back older.
    bool store_came_back = false;
    /// When this router last confirmed to any leader that it has received the announcement of long
    /// holds.
    std::optional<boot_time> long_holds_reported_at;
    placement_state placement;
};

/// Counts and logs a message of another router that could not be decoded, and is not used. `kind`
/// is for the log.
void record_unreadable_message(router_core& core, std::string_view kind, std::string_view message);

/// Counts and logs the items that an answer of the store held although they were not asked for.
void record_skipped_items(router_core& core, std::string_view call, const store_items& items);

/// Records whether a call to the store was answered, and logs each change. `call` is for the log.
void record_store_call(router_core& core, fleet_state& fleet, bool good, std::string_view call);

/// Records the era of a revision or lease that the store has given out, and logs each new one.
void record_store_era(router_core& core, fleet_state& fleet, std::uint64_t revision);

}  // namespace mimosavalve::gateway
