#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace mimosavalve::observe {

/// Histogram of latencies in 2 KB of fixed memory. A bucket is 1 us wide, or at most an eighth of
/// its lower bound. One thread records; any thread may read.
class histogram {
public:
    /// Buckets: 8 of width 1 us, then 8 for each power of two up to 2^34 us (4.7 hours).
    static constexpr std::size_t bucket_count = 256;

    void record(std::uint64_t microseconds);

    [[nodiscard]] std::uint64_t count(std::size_t bucket) const;
    [[nodiscard]] std::uint64_t total() const;
    [[nodiscard]] std::uint64_t sum_microseconds() const;

    /// Adds the counts of another histogram.
    void add(const histogram& other);

    /// Upper bound of the bucket that holds the quantile `fraction` (0 to 1), in us; 0 when nothing
    /// was recorded.
    [[nodiscard]] std::uint64_t quantile(double fraction) const;

    static std::size_t bucket_of(std::uint64_t microseconds);
    /// Smallest value above the bucket, in us.
    static std::uint64_t upper_bound(std::size_t bucket);

private:
    std::array<std::atomic<std::uint64_t>, bucket_count> counts_{};
    std::atomic<std::uint64_t> sum_{0};
};

}  // namespace mimosavalve::observe
