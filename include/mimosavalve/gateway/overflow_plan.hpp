#pragma once

#include <map>
#include <string>
#include <vector>

#include "mimosavalve/gateway/domain_overflow.hpp"
#include "mimosavalve/gateway/quota_allocation.hpp"

namespace mimosavalve::gateway {

/// Requests that one router sends for a service itself: its own, or those that it dispatches.
struct sender_demand {
    std::string host;
    std::string domain;  ///< Of the router.
    domain_demand demand;
};

/// What the leader knows of the requests for one service, and how much of them may leave.
struct service_overflow {
    std::vector<overflow_domain> domains;
    std::vector<sender_demand> senders;
    overflow_shares shares;
    /// Whether the shares are in effect: there is demand, and targets in more than one domain.
    bool is_in_effect = false;
};

struct overflow_input {
    const routing_state& state;
    const demand_rates& demand;
    const std::map<std::string, std::string>& routers;  ///< Failure domain by host.
    const dispatcher_map& dispatchers;  ///< Their requests count with their own domain.
    boot_time now;
};

/// Leader: plans the shares of a service without keys.
service_overflow plan_service_overflow(const overflow_input& input, const std::string& service);

/// Demand of the routers for the targets of one domain, as far as the shares send it there.
std::vector<router_demand> demands_in_domain(const service_overflow& plan,
                                             const std::string& domain);

/// Shares for the routers of a domain that has targets, by service.
overflow_by_service shares_of(const std::map<std::string, service_overflow>& plans,
                              const std::string& domain);

}  // namespace mimosavalve::gateway
