#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <span>
#include <vector>

#include "mimosavalve/observe/event_record.hpp"

namespace mimosavalve::observe {

/// The newest event records of this process. All functions may be called from any thread.
class event_log {
public:
    /// At about 200 bytes a record this is 2 MB, a small part of the 32 MB that a process may use.
    static constexpr std::size_t default_capacity = 8192;

    /// `capacity` must not be zero.
    explicit event_log(instance_id process, std::size_t capacity = default_capacity);

    /// Adds a record, with process and number set; drops the oldest record when there is no room.
    /// Returns the number.
    std::uint64_t append(event_record record);

    /// Records that answer the query, oldest first; of more than `most` only the newest ones.
    [[nodiscard]] std::vector<event_record> query(const event_query& query,
                                                  std::size_t most = default_capacity) const;

    /// Records that were dropped for lack of room.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    const instance_id process_;
    const std::size_t capacity_;
    mutable std::mutex mutex_;
    std::vector<event_record> ring_;  ///< Record `number` is at `(number - 1) % capacity_`.
    std::uint64_t newest_ = 0;
};

/// Puts the records of several processes into one causal order. A record comes after the earlier
/// records of its process, and after the records of other processes about the same shard at older
/// versions; where that leaves a choice, the one with the smaller time, then host and number, is
/// first. When a process recorded a shard's versions out of order, its own order is kept. A record
/// that was given twice appears once.
std::vector<event_record> merge(std::span<const std::vector<event_record>> answers);

}  // namespace mimosavalve::observe
