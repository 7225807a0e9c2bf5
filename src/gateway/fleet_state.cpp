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

}  // namespace mimosavalve::gateway
