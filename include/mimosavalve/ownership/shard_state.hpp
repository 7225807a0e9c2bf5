#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "mimosavalve/core/types.hpp"
#include "mimosavalve/ownership/slot.hpp"

namespace mimosavalve::ownership {

/// What the leader knows of a target. Slots are given to active targets only.
enum class target_condition {
    active,
    leaving,  ///< Finishes what it has; gets no new unkeyed work and hands its slots on.
    lost,
};

/// A target of the shard's region.
struct target {
    std::string id;
    std::string service;
    std::string address;  ///< "ip:port"
    std::string failure_domain;
    std::uint32_t slots = 1;        ///< Requests that it runs at the same time.
    std::uint32_t connections = 1;  ///< Connections that it accepts.
    bool checks_fence = false;
    target_condition condition = target_condition::active;
    std::uint64_t instance = 0;  ///< Run of the target as last seen; changes when it restarts.
    version fresh_since;         ///< Version at which this instance joined; its slow start.

    bool operator==(const target&) const = default;
};

/// A run of consecutive slots with one owner.
struct assignment {
    std::string service;
    slot_number first_slot = 0;
    std::uint32_t count = 0;
    std::string owner;           ///< Target id; empty when no target is left.
    version fence;               ///< Version at which `owner` was recorded.
    std::string previous_owner;  ///< Not empty until the previous owner is proved to have stopped.

    bool operator==(const assignment&) const = default;
};

/// A key that has an owner of its own, apart from its slot.
struct hot_key {
    std::string service;
    std::string key;  ///< "account/id"
    std::string owner;
    version fence;
    std::string previous_owner;

    bool operator==(const hot_key&) const = default;
};

/// A router process whose confirmation counts for serving leases.
struct voter {
    instance_id id;
    std::string failure_domain;
    std::string address;  ///< "ip:port" of its peer socket.

    bool operator==(const voter&) const = default;
};

/// Everything that is decided for one shard. It is one value of the store.
struct shard_state {
    shard_id shard;
    version at;
    instance_id leader;
    std::string leader_address;  ///< "ip:port" of the leader's peer socket.
    std::vector<voter> voters;
    std::uint32_t store_weight = 1;  ///< Votes of the store; each voter has one.
    std::uint64_t config_version = 0;
    std::vector<target> targets;
    std::vector<assignment> assignments;  ///< Sorted by service and first slot; no overlap.
    std::vector<hot_key> hot_keys;
    std::uint64_t write_nonce = 0;  ///< Identifies the write when its answer is lost.

    bool operator==(const shard_state&) const = default;
};

/// Serialises a state as the store keeps it and peers send it (protobuf).
std::string encode(const shard_state& state);

/// Reverse of `encode`; `errc::malformed_message` when the bytes are not a whole valid state.
std::optional<shard_state> decode_shard_state(std::string_view bytes, std::error_code& error);

/// Assignment that holds `slot`, or null.
const assignment* find_assignment(const shard_state& state, std::string_view service,
                                  slot_number slot);

/// Explicit entry of a key, or null.
const hot_key* find_hot_key(const shard_state& state, std::string_view service,
                            std::string_view key);

const target* find_target(const shard_state& state, std::string_view id);

/// Gives `count` slots from `first_slot` to `owner`, splitting and merging runs. Slots that had
/// another owner get `previous_owner` set to it.
void assign(shard_state& state, std::string_view service, slot_number first_slot,
            std::uint32_t count, std::string_view owner, const version& fence);

/// Clears `previous_owner` of the runs inside the range: that owner is proved to have stopped.
void finish_handover(shard_state& state, std::string_view service, slot_number first_slot,
                     std::uint32_t count);

/// Fewest votes that are more than half of all voters and the store.
std::uint32_t quorum_of(const shard_state& state);

}  // namespace mimosavalve::ownership
