#include "mimosavalve/load/latency_histogram.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace mimosavalve::load {

std::size_t latency_histogram::bucket_of(std::uint64_t value) {
    const auto width = static_cast<std::size_t>(std::bit_width(value));
    if (width <= steps_log2) {
        return value;
    }
    const auto shift = width - steps_log2 - 1;
    return (shift << steps_log2) + (value >> shift);
}

std::uint64_t latency_histogram::upper_end(std::size_t bucket) {
    if (bucket < 2 * steps) {
        return bucket;
    }
    const auto shift = (bucket >> steps_log2) - 1;
    const auto step = (bucket & (steps - 1)) + steps;
    return ((step + 1) << shift) - 1;
}

void latency_histogram::add(std::chrono::nanoseconds time) {
    const auto value = static_cast<std::uint64_t>(std::max<std::int64_t>(time.count(), 0));
    ++buckets_.at(bucket_of(value));
    ++count_;
}

std::chrono::nanoseconds latency_histogram::quantile(double share) const {
    const auto wanted = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(count_)));
    std::uint64_t seen = 0;
    for (std::size_t bucket = 0; bucket < buckets_.size(); ++bucket) {
        seen += buckets_.at(bucket);
        if (seen > 0 && seen >= wanted) {
            return std::chrono::nanoseconds(upper_end(bucket));
        }
    }
    return std::chrono::nanoseconds(0);
}

}  // namespace mimosavalve::load
