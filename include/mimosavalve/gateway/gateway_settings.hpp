#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "mimosavalve/gateway/clock.hpp"

namespace mimosavalve::gateway {

/// Limits that the platform guarantees or demands.
struct platform_bounds {
    milliseconds leave_time{2500};  ///< Time after which a leaving target is sent nothing new.
    milliseconds stop_time{6000};   ///< Time from the stop signal to the kill.
    milliseconds max_hold{10000};   ///< Maximum hold of keys per grant.
    double retry_ratio = 0.2;       ///< Retries per request to a service, over all routers.
    double extra_retries_per_window = 60;  ///< Further retries per window, over all routers.
    milliseconds retry_window{10000};
    /// A cold target can handle this number of requests per second: `cold_rate_factor` times the
    /// `cold_requests_per_second` of its service, plus `cold_rate_extra_per_second`.
    double cold_rate_factor = 1.5;
    double cold_rate_extra_per_second = 5;
};

/// Region of each failure domain.
using region_map = std::map<std::string, std::string, std::less<>>;

/// Settings of a router process, read at its start and when the settings file changes.
struct gateway_settings {
    std::string host;  ///< Name of this host.
    std::string failure_domain;
    std::string region;
    region_map regions;
    std::string caller_address;   ///< "IP:PORT" that callers connect to.
    std::string ready_address;    ///< "IP:PORT" for the health checks of the balancer.
    std::string peer_address;     ///< "IP:PORT" for the fleet's other routers.
    std::string metrics_address;  ///< "IP:PORT" where metrics are read.
    /// "IP:PORT" for requests that other routers forward; empty: none are accepted.
    std::string forward_address;
    double capacity = 1;           ///< Share of a processor core that the host has, in cores.
    std::string store_address;     ///< "IP:PORT" of the store.
    milliseconds min_lease{1000};  ///< Minimum duration of a store lease.
    platform_bounds bounds;
};

/// Region of a failure domain; empty if the domain is not listed.
std::string_view region_of(const region_map& regions, std::string_view failure_domain);

}  // namespace mimosavalve::gateway
