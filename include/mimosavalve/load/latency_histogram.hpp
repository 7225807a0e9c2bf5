#pragma once

#include <array>
#include <chrono>
#include <cstdint>

namespace mimosavalve::load {

/// Counts times in buckets that are linear within each power of two, so that every quantile is
/// exact to 1/32 of its value.
class latency_histogram {
public:
    void add(std::chrono::nanoseconds time);
    [[nodiscard]] std::uint64_t count() const { return count_; }
    /// Upper end of the bucket that holds the quantile; 0 when nothing was counted. `share` is from
    /// 0 to 1.
    [[nodiscard]] std::chrono::nanoseconds quantile(double share) const;

private:
    static constexpr std::size_t steps_log2 = 5;
    static constexpr std::size_t steps = std::size_t{1} << steps_log2;

    static std::size_t bucket_of(std::uint64_t value);
    static std::uint64_t upper_end(std::size_t bucket);

    std::array<std::uint64_t, steps * 64> buckets_{};
    std::uint64_t count_ = 0;
};

}  // namespace mimosavalve::load
