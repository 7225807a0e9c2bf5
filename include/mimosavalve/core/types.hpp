#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace mimosavalve {

/// Time of the monotonic clock of this host. All deadlines of the control logic use it.
using steady_time = std::chrono::steady_clock::time_point;

/// Version of the state of a shard; versions order the states. A new leader raises the epoch; each
/// change that a leader makes raises the sequence. In the control library, the fence of an
/// assignment is the version at which the assignment was made.
struct version {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const version&) const = default;
};

/// Identifies a shard of a region.
struct shard_id {
    std::string region;
    std::uint32_t index = 0;

    auto operator<=>(const shard_id&) const = default;
};

/// Identifies an instance of the daemon on a host. `number` is chosen at random at each start, so
/// that a restarted daemon is not mistaken for the instance that gave confirmations before the
/// restart.
struct instance_id {
    std::string host;
    std::uint64_t number = 0;

    auto operator<=>(const instance_id&) const = default;
};

std::string to_string(const version& value);
std::string to_string(const shard_id& value);
std::string to_string(const instance_id& value);

}  // namespace mimosavalve
