#include "gateway/operator_items.hpp"

#include <doctest/doctest.h>

#include "registry_fixture.hpp"

using namespace mimosavalve::gateway;
using namespace mimosavalve::gateway::testing;

namespace {

constexpr auto evacuation = "operators/evacuate/north-a";

/// Router that follows the operators' items. The text of a configuration is its version.
struct operators_fixture : registry_fixture {
    operators_fixture() : items(core, fleet, {[] {}, [] {}}) {
        core.platform.keys.evacuations = "operators/evacuate/";
        core.platform.decode_config = [](std::string_view text, std::string&) {
            operator_config config;
            config.version = std::stoull(std::string(text));
            return std::optional(config);
        };
    }
    [[nodiscard]] bool is_evacuated() const { return items.evacuated().contains("north-a"); }
    /// Whether the evacuation is as `expected` all the time.
    [[nodiscard]] bool stays(bool expected, milliseconds time) {
        return !run_until([&] { return is_evacuated() != expected; }, time);
    }

    fleet_state fleet;
    operator_items items;
};

}  // namespace

TEST_CASE("an evacuation that an older copy lacks stays until it is written again [operators]") {
    operators_fixture router;
    router.items.start();
    router.store.take_copy();
    router.run_for(milliseconds(50));
    router.store.put(evacuation, "on");
    REQUIRE(router.run_until([&] { return router.is_evacuated(); }, milliseconds(2000)));
    router.store.restore_copy();
    CHECK(router.stays(true, milliseconds(1500)));
    router.store.put(evacuation, "on");
    CHECK(router.stays(true, milliseconds(4000)));
    router.store.put(evacuation, "");
    CHECK(router.run_until([&] { return !router.is_evacuated(); }, milliseconds(2000)));
}

TEST_CASE("an evacuation that nobody writes again after the store came back ends [operators]") {
    operators_fixture router;
    router.items.start();
    router.store.take_copy();
    router.run_for(milliseconds(50));
    router.store.put(evacuation, "on");
    REQUIRE(router.run_until([&] { return router.is_evacuated(); }, milliseconds(2000)));
    router.store.restore_copy();
    CHECK(router.stays(true, milliseconds(2000)));
    CHECK(router.run_until([&] { return !router.is_evacuated(); }, milliseconds(3000)));
}

TEST_CASE("an evacuation that ended does not begin again with an older copy [operators]") {
    operators_fixture router;
    router.store.put(evacuation, "on");
    router.items.start();
    REQUIRE(router.run_until([&] { return router.is_evacuated(); }, milliseconds(2000)));
    router.store.take_copy();
    router.store.put(evacuation, "");
    REQUIRE(router.run_until([&] { return !router.is_evacuated(); }, milliseconds(2000)));
    router.store.restore_copy();
    CHECK(router.stays(false, milliseconds(1500)));
    router.store.put(evacuation, "");
    CHECK(router.stays(false, milliseconds(4000)));
    router.store.put(evacuation, "on");
    CHECK(router.run_until([&] { return router.is_evacuated(); }, milliseconds(2000)));
}

TEST_CASE("a router that has just started takes the evacuations of an older copy [operators]") {
    operators_fixture router;
    router.store.put(evacuation, "on");
    router.store.take_copy();
    router.store.restore_copy();
    router.items.start();
    CHECK(router.run_until([&] { return router.is_evacuated(); }, milliseconds(500)));
}

TEST_CASE("a leader's evacuations from an older copy are not taken over at once [operators]") {
    operators_fixture router;
    router.items.start();
    router.store.put(evacuation, "on");
    REQUIRE(router.run_until([&] { return router.is_evacuated(); }, milliseconds(2000)));
    const std::uint64_t revision_of_new_era = (std::uint64_t{1} << store_era_shift) + 10;
    sync_reply reply;
    reply.operators_revision = revision_of_new_era;
    router.items.apply_from_leader(reply);
    CHECK(router.is_evacuated());
    router.run_for(milliseconds(2600));
    router.items.apply_from_leader(reply);
    CHECK_FALSE(router.is_evacuated());
}

TEST_CASE("the configuration of an older copy is ignored and not counted as bad [operators]") {
    operators_fixture router;
    router.store.put("operators/config", "3");
    router.items.start();
    REQUIRE(router.run_until([&] { return router.core.state.config.version == 3; },
                             milliseconds(2000)));
    router.store.take_copy();
    router.store.put("operators/config", "7");
    REQUIRE(router.run_until([&] { return router.core.state.config.version == 7; },
                             milliseconds(2000)));
    router.store.restore_copy();
    router.run_for(milliseconds(4000));
    CHECK(router.core.state.config.version == 7);
    CHECK(router.core.metrics.counters["configs_rejected"] == 0);
    router.store.put("operators/config", "9");
    CHECK(router.run_until([&] { return router.core.state.config.version == 9; },
                           milliseconds(2000)));
}

TEST_CASE("a router that follows a leader does not read the operators' items [operators]") {
    operators_fixture router;
    router.store.put("operators/config", "3");
    router.items.start();
    REQUIRE(router.run_until([&] { return router.core.state.config.version == 3; },
                             milliseconds(2000)));
    router.items.set_reading(false);
    router.store.put("operators/config", "5");  // Ends the watch that is in flight.
    router.run_for(milliseconds(1000));
    router.store.put("operators/config", "7");
    router.run_for(milliseconds(800));
    CHECK(router.core.state.config.version <= 5);
    router.items.set_reading(true);
    CHECK(router.run_until([&] { return router.core.state.config.version == 7; },
                           milliseconds(1000)));
}

TEST_CASE("a router that reads again does not list what the leader has told it [operators]") {
    operators_fixture router;
    router.store.put("operators/config", "3");
    router.items.start();
    REQUIRE(router.run_until([&] { return router.core.state.config.version == 3; },
                             milliseconds(2000)));
    router.items.set_reading(false);
    sync_reply reply;
    reply.operators_revision = 1000;
    reply.config_version = 3;
    reply.evacuated_domains = {"north-a"};
    router.items.apply_from_leader(reply);
    CHECK(router.is_evacuated());
    CHECK(router.items.revision() == 1000);
}
