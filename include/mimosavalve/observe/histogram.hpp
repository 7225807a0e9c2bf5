#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace mimosavalve::observe {

/// Counts of latencies in buckets whose width is at most an eighth of their value, in fixed memory
/// (2 KB). One thread records; any thread may read.
class histogram {
public:
    /// Buckets: 8 of width 1 us, then 8 for each power of two up to 2^34 us (4.7 hours).
    static constexpr std::size_t bucket_count = 256;

    void record(std::uint64_t microseconds);

    [[nodiscard]] std::uint64_t count(std::size_t bucket) const;
    [[nodiscard]] std::uint64_t total() const;
    [[nodiscard]] std::uint64_t sum_microseconds() const;

    /// Adds the counts of another one.
    void add(const histogram& other);

    /// Upper bound of the bucket that holds the quantile (0 to 1), in us; 0 without records.
    [[nodiscard]] std::uint64_t quantile(double part) const;

    static std::size_t bucket_of(std::uint64_t microseconds);
    /// First value above the bucket, in us.
    static std::uint64_t upper_bound(std::size_t bucket);

private:
    std::array<std::atomic<std::uint64_t>, bucket_count> counts_{};
    std::atomic<std::uint64_t> sum_{0};
};

}  // namespace mimosavalve::observe
