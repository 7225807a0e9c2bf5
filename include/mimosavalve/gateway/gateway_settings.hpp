#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "mimosavalve/gateway/clock.hpp"

namespace mimosavalve::gateway {

/// Bounds that the platform promises or demands.
struct platform_bounds {
    milliseconds leave_time{2500};     ///< A leaving target gets nothing new after this time.
    milliseconds stop_time{6000};      ///< From the stop signal to the kill.
    milliseconds longest_hold{10000};  ///< Of keys, per grant.
    double retry_ratio = 0.2;          ///< Repeats per request of a service, over all routers.
    double retry_extra = 60;           ///< Repeats per window on top of that.
    milliseconds retry_window{10000};
    double cold_factor = 1.5;  ///< A cold target bears its rate times this, plus the extra.
    double cold_extra = 5;
};

/// Region of each failure domain.
using region_map = std::map<std::string, std::string, std::less<>>;

/// What a router process is told at its start and when its settings file changes.
struct gateway_settings {
    std::string host;  ///< Name of this host.
    std::string failure_domain;
    std::string region;
    region_map regions;
    std::string caller_address;         ///< "IP:PORT" for callers.
    std::string ready_address;          ///< "IP:PORT" for the balancer's checks.
    std::string peer_address;           ///< "IP:PORT" for our own processes.
    std::string metrics_address;        ///< "IP:PORT" for counters and histograms.
    std::string store_address;          ///< "IP:PORT".
    milliseconds shortest_lease{1000};  ///< The store grants no shorter lease.
    platform_bounds bounds;
};

/// Region of a failure domain; empty when it is not listed.
std::string_view region_of(const region_map& regions, std::string_view failure_domain);

}  // namespace mimosavalve::gateway
