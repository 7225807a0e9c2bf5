#include "mimosavalve/observe/histogram.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace mimosavalve::observe {

namespace detail {

constexpr std::size_t linear_bits = 3;
constexpr std::uint64_t linear_buckets = std::uint64_t{1} << linear_bits;

/// Only one thread writes, so separate load and store suffice instead of an atomic addition.
void increase(std::atomic<std::uint64_t>& counter, std::uint64_t amount) {
    counter.store(counter.load(std::memory_order_relaxed) + amount, std::memory_order_relaxed);
}

}  // namespace detail

std::size_t histogram::bucket_of(std::uint64_t microseconds) {
    if (microseconds < detail::linear_buckets) {
        return microseconds;
    }
    const auto shift =
        static_cast<std::size_t>(std::bit_width(microseconds)) - 1 - detail::linear_bits;
    const auto offset = (microseconds >> shift) - detail::linear_buckets;
    return std::min(bucket_count - 1, (shift + 1) * detail::linear_buckets + offset);
}

std::uint64_t histogram::upper_bound(std::size_t bucket) {
    if (bucket < detail::linear_buckets) {
        return bucket + 1;
    }
    const auto shift = bucket / detail::linear_buckets - 1;
    const auto offset = bucket % detail::linear_buckets;
    return (detail::linear_buckets + offset + 1) << shift;
}

void histogram::record(std::uint64_t microseconds) {
    detail::increase(counts_.at(bucket_of(microseconds)), 1);
    detail::increase(sum_, microseconds);
}

std::uint64_t histogram::count(std::size_t bucket) const {
    return counts_.at(bucket).load(std::memory_order_relaxed);
}

std::uint64_t histogram::total() const {
    std::uint64_t sum = 0;
    for (const auto& counter : counts_) {
        sum += counter.load(std::memory_order_relaxed);
    }
    return sum;
}

std::uint64_t histogram::sum_microseconds() const {
    return sum_.load(std::memory_order_relaxed);
}

void histogram::add(const histogram& other) {
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket) {
        detail::increase(counts_.at(bucket), other.count(bucket));
    }
    detail::increase(sum_, other.sum_microseconds());
}

std::uint64_t histogram::quantile(double fraction) const {
    const auto total_count = total();
    const auto rank = std::max<std::uint64_t>(
        1, static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(total_count))));
    std::uint64_t cumulative_count = 0;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket) {
        cumulative_count += count(bucket);
        if (total_count > 0 && cumulative_count >= rank) {
            return upper_bound(bucket);
        }
    }
    return 0;
}

}  // namespace mimosavalve::observe
