#include "fleet_state.hpp"

namespace mimosavalve::gateway {

void note_store(router_core& core, fleet_state& fleet, bool good, std::string_view call) {
    if (good != fleet.store_good) {
        core.log.write_always(good ? "store_regained" : "store_lost", {{"call", call}});
        count(core.metrics, good ? "store_regained" : "store_lost");
    }
    fleet.store_good = good;
}

}  // namespace mimosavalve::gateway
