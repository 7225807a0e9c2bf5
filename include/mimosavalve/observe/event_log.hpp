#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <span>
#include <vector>

#include "mimosavalve/observe/event_record.hpp"

namespace mimosavalve::observe {

/// Holds the newest event records of this process. Thread-safe.
class event_log {
public:
    /// About 2 MB at 200 bytes a record, which is a small part of the 32 MB that a process may use.
    static constexpr std::size_t default_capacity = 8192;

    /// `capacity` must not be zero.
    explicit event_log(instance_id process, std::size_t capacity = default_capacity);

    /// Sets process and number of the record and adds it; drops the oldest record when the log is
    /// full. Returns the number.
    std::uint64_t append(event_record record);

    /// Records that match the query, oldest first; when there are more than `max_records`, only the
    /// newest ones.
    [[nodiscard]] std::vector<event_record> query(const event_query& query,
                                                  std::size_t max_records = default_capacity) const;

    /// Number of records dropped because the log was full.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    const instance_id process_;
    const std::size_t capacity_;
    mutable std::mutex mutex_;
    std::vector<event_record> ring_;  ///< Record `number` is at `(number - 1) % capacity_`.
    std::uint64_t newest_number_ = 0;
};

/// Merges the records of several processes into one causal order. A record comes after the earlier
/// records of its process, and after the records of other processes about the same shard at older
/// versions. Where these rules allow several records to be next, the one with the smallest time,
/// then process, then number comes first. When a process recorded the versions of a shard out of
/// order, the order of that process is kept. A record that is in several lists appears once.
std::vector<event_record> merge(std::span<const std::vector<event_record>> record_lists);

}  // namespace mimosavalve::observe
