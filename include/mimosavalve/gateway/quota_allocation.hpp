#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "mimosavalve/gateway/clock.hpp"
#include "mimosavalve/gateway/target_table.hpp"

namespace mimosavalve::gateway {

/// Exponentially decaying request rate of each router to each destination. A destination is a
/// service, with home regions if the requests are bound to them, or one target.
struct demand_rates {
    struct rate {
        double per_second = 0;
        boot_time updated_at;
    };
    /// By destination, then by router.
    std::map<std::string, std::map<std::string, rate>> by_destination;
};

/// Adds requests that a router reported.
void record_demand(demand_rates& rates, const std::string& destination, const std::string& router,
                   std::uint32_t requests, boot_time now);
/// Requests per second of one router to one destination.
double demand_of(const demand_rates& rates, const std::string& destination,
                 const std::string& router, boot_time now);
/// Name of the destination of requests for a service that are bound to these home regions; no
/// regions: requests that are not bound.
std::string demand_destination(const std::string& service,
                               const std::vector<std::string>& home_regions);

/// Requests per second of all routers to one destination.
double total_demand_of(const demand_rates& rates, const std::string& destination, boot_time now);

/// Destinations of the requests for a service.
struct service_destinations {
    struct destination {
        std::string name;  ///< See `demand_destination`.
        std::vector<std::string> home_regions;
    };
    std::vector<destination> destinations;
    std::set<std::string> served_regions;  ///< Regions that have targets for new requests.
};
service_destinations destinations_of(const routing_state& state, const std::string& service,
                                     boot_time now);

/// A router's demand for the targets of one region. Bound requests are split evenly over those of
/// their home regions that have targets; others stay in the router's own region (`own_region`) if
/// the service has targets there.
struct region_demand {
    bool may_use = false;  ///< Whether requests of the router may go to the region.
    double per_second = 0;
};
region_demand demand_in_region(const demand_rates& rates, const service_destinations& service,
                               const std::string& region, const std::string& router,
                               const std::string& own_region, boot_time now);

/// Removes entries whose rate has decayed to a negligible value.
void expire_demand(demand_rates& rates, boot_time now);

/// A target whose concurrency limit is divided among the routers.
struct quota_target {
    std::string id;
    std::uint32_t concurrency_limit = 1;  ///< Maximum number of requests at a time, of all routers.
};

/// A router's demand for the targets among which quotas are allocated.
struct router_demand {
    std::string host;
    double demand = 0;  ///< Requests per second.
};

/// Maximum number of requests at a time, by host of the router, then by target.
using quotas_by_host = std::map<std::string, std::map<std::string, std::uint32_t>>;

/// Divides the concurrency limits of the targets among the routers in proportion to their demand;
/// each router gets a quota of at least one. This handles a lasting overload of a service with few
/// slots and many routers: without a limit, requests would queue at the targets, where they can
/// neither be ordered nor refused, and all routers would choose the same fast target.
quotas_by_host allocate_concurrency(const std::vector<quota_target>& targets,
                                    const std::vector<router_demand>& routers);

/// Concurrency limit of one target: one request for each slot, and some more so that a slot has its
/// next request waiting. A router may hold a quota without having a request for it, and no other
/// router can use that quota. So the limit per slot that keeps every slot busy rises with the
/// number of routers that share the slots of a service. A service with spare capacity gets a higher
/// limit, so that bursts of one router find room. `utilization`: demand as a fraction of the
/// service's capacity; `routers_per_slot`: number of routers with a quota for the service, divided
/// by the number of its slots.
std::uint32_t fleet_concurrency_limit(const target_entry& target, double utilization,
                                      double routers_per_slot);

/// Whether the demand is so near the owner's capacity that `allocate_rates` limits the routers.
bool is_rate_limited(double capacity, double demand);

/// Divides an owner's requests per second among the routers in proportion to their demand; empty
/// when the demand is not near the owner's capacity. This handles a key with more requests than its
/// owner can handle. The result is by host of the router.
std::map<std::string, double> allocate_rates(double capacity,
                                             const std::vector<router_demand>& routers);

}  // namespace mimosavalve::gateway
