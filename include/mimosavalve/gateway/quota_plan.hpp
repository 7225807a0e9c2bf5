#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "mimosavalve/gateway/dispatch_plan.hpp"
#include "mimosavalve/gateway/overflow_plan.hpp"
#include "mimosavalve/gateway/quota_allocation.hpp"

namespace mimosavalve::gateway {

/// What the leader knows of routers that could be dispatchers, and whom it has named.
struct dispatch_state {
    std::vector<dispatch_candidate> candidates;
    dispatcher_map named;
    bool is_settling = false;  ///< See `dispatch_input`.
};

/// Quotas that the leader allocates to the routers; it plans them anew several times a second.
struct quota_plan {
    quotas_by_host concurrency;  ///< By host, then by target.
    /// Requests per second, by host, then by target.
    std::map<std::string, std::map<std::string, double>> rates;
    std::map<std::string, service_overflow> overflow;  ///< By service without keys.
};

/// Time in which all routers call a new leader: two sync calls that a slow link has delayed by up
/// to 0.9 s each, and the pause between them.
inline constexpr milliseconds first_calls_time{2000};

/// Assumed number of routers while the number is unknown: a users' fleet with all spare hosts.
inline constexpr std::uint32_t assumed_router_count = 16;

/// Number of routers among which fleet-wide limits are divided. All routers call a new leader
/// within about two seconds; until then the leader assumes at least `assumed_router_count`, since
/// counting too few routers would give each of them too large a share.
std::uint32_t sharing_router_count(std::uint32_t known_routers, milliseconds leading_for);

/// Divides among the routers the concurrency limits of targets without keys, and the request rates
/// of owners near their capacity. `routers`: failure domain by host. Names dispatchers; the limits
/// of targets to which these send are divided among them only. See `allocate_concurrency`,
/// `allocate_rates` and dispatch_plan.hpp for the loads that this handles. If all routers have
/// reported their demand (`is_demand_complete`), requests that leave their failure domain are
/// planned as well, and the limits of each domain's targets are divided among the routers whose
/// requests go there.
quota_plan plan_quotas(const routing_state& state, const demand_rates& demand,
                       const std::map<std::string, std::string>& routers, dispatch_state& dispatch,
                       boot_time now, bool is_demand_complete = true);

}  // namespace mimosavalve::gateway
