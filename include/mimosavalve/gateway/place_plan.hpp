#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "mimosavalve/gateway/clock.hpp"
#include "mimosavalve/gateway/target_table.hpp"

namespace mimosavalve::gateway {

/// Requests per second of each router to each place (a service, or one target), decayed.
struct demand_rates {
    struct rate {
        double per_second = 0;
        boot_time noted;
    };
    std::map<std::string, std::map<std::string, rate>> by_place;  ///< Then by router.
};

void note_demand(demand_rates& rates, const std::string& place, const std::string& router,
                 std::uint32_t requests, boot_time now);
double demand_of(const demand_rates& rates, const std::string& place, const std::string& router,
                 boot_time now);
/// Demand for a service from requests with these home regions; empty: not bound.
std::string demand_place(const std::string& service, const std::vector<std::string>& homes);

/// A router's demand for the targets of one region. Bound requests are split over their homes;
/// others stay in the router's own region (`own`) if the service has targets there.
struct region_demand {
    bool may_use = false;  ///< Whether any request of the router may come to the region.
    double per_second = 0;
};
region_demand demand_in_region(const demand_rates& rates, const routing_state& state,
                               const std::string& service, const std::string& region,
                               const std::string& router, const std::string& own, boot_time now);

/// Drops what has decayed to nothing.
void forget_old_demand(demand_rates& rates, boot_time now);

/// A target whose places are lent.
struct lent_target {
    std::string id;
    std::uint32_t places = 1;
};

struct borrowing_router {
    std::string host;
    double demand = 0;  ///< Requests per second.
};

using lent_places = std::map<std::string, std::map<std::string, std::uint32_t>>;

/// Answers a lasting overload of a service whose few slots many routers share. Without a bound each
/// router would queue at the targets, where requests can neither be ordered nor refused, and all
/// would choose the same fast target. Divides the places among the routers by their demand; each
/// router gets one at least. The result maps router to target to places.
lent_places lend_places(const std::vector<lent_target>& targets,
                        const std::vector<borrowing_router>& routers);

/// Places of one target: one for each slot, and some more so that a slot has its next request
/// waiting. A place that was lent to a router without a request is of no use to the others, so the
/// more routers share the slots of a service, the more places each slot needs to be always busy. A
/// service that is not busy lends more, so that bursts of one router find room.
/// `use`: the part of the service's capacity that is asked for; `routers_per_slot`: those that
/// borrow, for each slot of the service.
std::uint32_t places_of(const target_entry& target, double use, double routers_per_slot);

/// Answers one key that is busier than its owner can bear: the owner's requests per second, divided
/// among the routers by their demand. Nothing when the owner is not near its capacity.
std::map<std::string, double> lend_rates(double capacity,
                                         const std::vector<borrowing_router>& routers);

}  // namespace mimosavalve::gateway
