#include "mimosavalve/ownership/slot.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace own = mimosavalve::ownership;

// Routers that compute different slots for a key would send its requests to different owners.
TEST_CASE("the slot of a key is a fixed function of its name [slot]") {
    CHECK(own::slot_of("status", "ward-4", "metronome-17", 1024) ==
          own::slot_of("status", "ward-4", "metronome-17", 1024));
    CHECK(own::hash_of("status/ward-4/metronome-17") == 10320729841266183602ULL);
}

// A slot without a shard would have no leader, so its keys would never be served.
TEST_CASE("every slot belongs to a shard and shards have about equal numbers of slots [slot]") {
    std::vector<int> counts(7);
    for (own::slot_number slot = 0; slot < 1024; ++slot) {
        ++counts.at(own::shard_of(slot, 1024, 7));
    }
    for (const auto count : counts) {
        CHECK(count >= 146);
        CHECK(count <= 147);
    }
}

// A plain modulo would move almost every key when a region is added.
TEST_CASE("adding a region moves only the keys whose home it becomes [slot]") {
    const std::vector<std::string> two{"bagmati", "gandaki"};
    const std::vector<std::string> three{"bagmati", "gandaki", "koshi"};
    for (int number = 0; number < 1000; ++number) {
        const auto id = std::to_string(number);
        const auto before = own::region_of("status", "ward-4", id, two);
        const auto after = own::region_of("status", "ward-4", id, three);
        CHECK((after == before || after == "koshi"));
    }
}

TEST_CASE("a key has no home region when no region is allowed [slot]") {
    CHECK(own::region_of("status", "ward-4", "1", {}).empty());
}
