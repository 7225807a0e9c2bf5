#pragma once

#include <cstdint>

namespace mimosavalve::config {

constexpr std::uint32_t most_shards_per_region = 4096;
constexpr std::uint32_t most_slots_per_region = 1U << 20U;
constexpr std::uint64_t longest_timeout_ms = 600'000;
constexpr std::uint64_t largest_body_bytes = std::uint64_t{1} << 30U;
constexpr double largest_account_rate = 1e9;

}  // namespace mimosavalve::config
