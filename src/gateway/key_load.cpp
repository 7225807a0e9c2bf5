#include "mimosavalve/gateway/key_load.hpp"

namespace mimosavalve::gateway {

void count_key(key_load& load, std::uint32_t key) {
    ++load.counts[key - key % load.keys_per_counter];
    while (load.counts.size() > max_counters) {
        load.keys_per_counter *= 2;
        std::map<std::uint32_t, std::uint32_t> merged;
        for (const auto& [first, count] : load.counts) {
            merged[first - first % load.keys_per_counter] += count;
        }
        load.counts = std::move(merged);
    }
}

}  // namespace mimosavalve::gateway
