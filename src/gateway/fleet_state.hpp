#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "mimosavalve/gateway/peer_messages.hpp"
#include "router_core.hpp"

namespace mimosavalve::gateway {

/// What the parts of the control side share about the fleet and the store.
struct fleet_state {
    std::uint64_t run = 0;           ///< Random at each start of this process.
    bool stopping = false;           ///< Leads no longer than it must, and follows nobody.
    bool leading = false;            ///< This router is the leader on record.
    leader_identity leader;          ///< Epoch 0: none known.
    std::uint64_t newest_epoch = 0;  ///< Of all leaders that were known.
    bool store_good = true;          ///< The last call to the store was answered.
    boot_time registry_read;         ///< Last good reading of the registry, by us or our leader.
    /// When this router last told any leader that it knows of long holds.
    std::optional<boot_time> told_long_holds;
};

/// Notes whether a call to the store was answered, and logs when it is lost or regained.
void note_store(router_core& core, fleet_state& fleet, bool good, std::string_view call);

}  // namespace mimosavalve::gateway
