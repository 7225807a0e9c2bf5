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

/// Condition of a target as recorded by the leader. Slots are assigned to active targets only.
enum class target_condition {
    active,
    leaving,  ///< Finishes its running requests; gets no new unkeyed ones, and its slots move.
    lost,
};

/// Target in the region of the shard.
struct target {
    std::string id;
    std::string service;
    std::string address;  ///< "ip:port"
    std::string failure_domain;
    std::uint32_t slots = 1;        ///< Maximum number of requests that it runs at a time.
    std::uint32_t connections = 1;  ///< Maximum number of connections that it accepts.
    bool checks_fence = false;
    target_condition condition = target_condition::active;
    std::uint64_t instance = 0;  ///< Last recorded instance; changes when the target restarts.
    /// Version at which the last slow start began: this instance joined or
    /// returned, or the target turned cold.
    version fresh_since;

    bool operator==(const target&) const = default;
};

/// Range of consecutive slots with one owner.
struct assignment {
    std::string service;
    slot_number first_slot = 0;
    std::uint32_t count = 0;
    std::string owner;           ///< Target id; empty when no target is left.
    version fence;               ///< Version at which `owner` was recorded.
    std::string previous_owner;  ///< Set until this owner is proved to have stopped serving.

    bool operator==(const assignment&) const = default;
};

/// Key whose owner is set separately from the owner of its slot. Such keys are decoded, routed and
/// displayed, but no leader of this version sets one.
struct hot_key {
    std::string service;
    std::string key;  ///< "account/id"
    std::string owner;
    version fence;
    std::string previous_owner;

    bool operator==(const hot_key&) const = default;
};

/// Router whose confirmation counts for serving leases.
struct voter {
    instance_id id;
    std::string failure_domain;
    std::string address;  ///< "ip:port" of its peer socket.

    bool operator==(const voter&) const = default;
};

/// State of a shard: all decisions of its leader. Stored as one value of the store.
struct shard_state {
    shard_id shard;
    version at;  ///< Version of this state.
    instance_id leader;
    std::string leader_address;  ///< "ip:port" of the leader's peer socket.
    std::vector<voter> voters;
    std::uint32_t store_weight = 1;  ///< Votes of the store; each voter has one vote.
    std::uint64_t config_version = 0;
    std::vector<target> targets;
    std::vector<assignment> assignments;  ///< Sorted by service and first slot; no overlap.
    std::vector<hot_key> hot_keys;
    /// Random number by which a writer recognises its own write when the store's answer was lost.
    std::uint64_t write_nonce = 0;

    bool operator==(const shard_state&) const = default;
};

/// Serialises a state to protobuf, for the store and for peers.
std::string encode(const shard_state& state);

/// Decodes the result of `encode`. Sets `error` to `errc::malformed_message` when the bytes are not
/// a whole valid state, and clears it otherwise.
std::optional<shard_state> decode_shard_state(std::string_view bytes, std::error_code& error);

/// Assignment that contains `slot`, or null.
const assignment* find_assignment(const shard_state& state, std::string_view service,
                                  slot_number slot);

/// Entry of a key in `hot_keys`, or null.
const hot_key* find_hot_key(const shard_state& state, std::string_view service,
                            std::string_view key);

const target* find_target(const shard_state& state, std::string_view id);

/// Assigns `count` slots from `first_slot` on to `owner`, splitting and merging ranges. Slots that
/// had another owner get it as `previous_owner`, unless an earlier previous owner is still set.
void assign(shard_state& state, std::string_view service, slot_number first_slot,
            std::uint32_t count, std::string_view owner, const version& fence);

/// Clears `previous_owner` of `count` slots from `first_slot` on. Called when that owner is proved
/// to have stopped serving them.
void finish_handover(shard_state& state, std::string_view service, slot_number first_slot,
                     std::uint32_t count);

/// Minimum number of votes that is more than half of the votes of all voters and the store.
std::uint32_t quorum_of(const shard_state& state);

}  // namespace mimosavalve::ownership
