#include "mimosavalve/ownership/slot.hpp"

#include <xxhash.h>

namespace mimosavalve::ownership {

namespace detail {

std::string joined_key(std::string_view service, std::string_view account, std::string_view id) {
    std::string key;
    key.reserve(service.size() + account.size() + id.size() + 2);
    key.append(service).append("/").append(account).append("/").append(id);
    return key;
}

}  // namespace detail

std::uint64_t hash_of(std::string_view text, std::uint64_t seed) {
    return XXH64(text.data(), text.size(), seed);
}

slot_number slot_of(std::string_view service, std::string_view account, std::string_view id,
                    std::uint32_t slots_per_region) {
    return static_cast<slot_number>(hash_of(detail::joined_key(service, account, id)) %
                                    slots_per_region);
}

std::uint32_t shard_of(slot_number slot, std::uint32_t slots_per_region,
                       std::uint32_t shards_per_region) {
    return static_cast<std::uint32_t>(std::uint64_t{slot} * shards_per_region / slots_per_region);
}

std::string_view region_of(std::string_view service, std::string_view account, std::string_view id,
                           std::span<const std::string> regions) {
    if (regions.size() == 1) {
        return regions.front();
    }
    const auto key_hash = hash_of(detail::joined_key(service, account, id));
    std::string_view best;
    std::uint64_t best_score = 0;
    for (const auto& region : regions) {
        const auto score = hash_of(region, key_hash);
        if (best.empty() || score > best_score) {
            best = region;
            best_score = score;
        }
    }
    return best;
}

}  // namespace mimosavalve::ownership
