#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "mimosavalve/gateway/place_plan.hpp"

namespace mimosavalve::gateway {

/// What the leader lends to the routers for a short time.
struct lending_plan {
    lent_places places;                                          ///< By host, then target.
    std::map<std::string, std::map<std::string, double>> rates;  ///< Requests/s, by host, target.
};

/// Assumed number of routers while it is not known: that of the users' fleets with all spare hosts.
inline constexpr std::uint32_t assumed_routers = 16;

/// Routers that divide limits which hold for their sum. A leader hears of all routers within about
/// two seconds; until then each one that it does not count would be given too large a share.
std::uint32_t sharing_routers(std::uint32_t heard_of, milliseconds leading_for);

/// Divides the places of targets without keys, and the rates of owners near their capacity, among
/// the routers. `routers`: failure domain by host. See `lend_places` and `lend_rates` for the loads
/// that this answers.
lending_plan plan_lending(const routing_state& state, const demand_rates& demand,
                          const std::map<std::string, std::string>& routers, boot_time now);

}  // namespace mimosavalve::gateway
