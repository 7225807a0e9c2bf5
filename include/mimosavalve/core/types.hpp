#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace mimosavalve {

/// Monotonic time of this host. All deadlines of the control logic use it.
using steady_time = std::chrono::steady_clock::time_point;

/// Order of the states of a shard. A new leader raises the epoch, each change of a leader the
/// sequence. Also the fence of an assignment: the version at which it was made.
struct version {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const version&) const = default;
};

/// One of the shards of a region.
struct shard_id {
    std::string region;
    std::uint32_t index = 0;

    auto operator<=>(const shard_id&) const = default;
};

/// One run of the daemon on a host. `number` is random at each start, so a restarted daemon is
/// never taken for the one that made promises before.
struct instance_id {
    std::string host;
    std::uint64_t number = 0;

    auto operator<=>(const instance_id&) const = default;
};

std::string to_string(const version& value);
std::string to_string(const shard_id& value);
std::string to_string(const instance_id& value);

}  // namespace mimosavalve
