#include "fleet_state.hpp"

namespace mimosavalve::gateway {

void record_store_call(router_core& core, fleet_state& fleet, bool good, std::string_view call) {
    if (good != fleet.store_responsive) {
        core.log.write_always(good ? "store_regained" : "store_lost", {{"call", call}});
        count(core.metrics, good ? "store_regained" : "store_lost");
        fleet.store_lost_at = core.now();
    }
    fleet.store_responsive = good;
}

void record_unreadable_message(router_core& core, std::string_view kind, std::string_view message) {
    count(core.metrics, "unreadable_messages");
    core.log.write("message_unreadable",
                   {{"kind", kind}, {"bytes", static_cast<std::int64_t>(message.size())}});
}

void record_skipped_items(router_core& core, std::string_view call, const store_items& items) {
    if (items.skipped > 0) {
        count(core.metrics, "store_items_skipped", items.skipped);
        core.log.write("store_items_skipped",
                       {{"call", call}, {"items", std::int64_t{items.skipped}}});
    }
}

void record_store_era(router_core& core, fleet_state& fleet, std::uint64_t revision) {
    const auto era = store_era_of(revision);
    if (fleet.store_era && era <= *fleet.store_era) {
        return;
    }
    if (era > 0) {
        core.log.write_always("store_era",
                              {{"old", static_cast<std::int64_t>(fleet.store_era.value_or(0))},
                               {"new", static_cast<std::int64_t>(era)}});
    }
    fleet.store_came_back = fleet.store_came_back || fleet.store_era.has_value();
    fleet.store_era = era;
}

}  // namespace mimosavalve::gateway
