#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "mimosavalve/router/routing_snapshot.hpp"

namespace mimosavalve::traffic {

/// A target of an unkeyed service, and the shard whose serving lease is required to send to it.
struct unkeyed_target {
    const ownership::target* target = nullptr;
    const router::shard_view* shard = nullptr;
};

struct service_entry {
    const config::service_config* config = nullptr;
    std::vector<unkeyed_target> candidates;  ///< Empty for keyed services; each target once.
};

struct route_entry {
    const config::route_config* config = nullptr;
    const service_entry* service = nullptr;
};

/// Index of one snapshot, built once and shared by the traffic threads, so that a decision needs
/// only a few hash look-ups. All pointers and views point into `snapshot`.
struct routing_table {
    std::shared_ptr<const router::routing_snapshot> snapshot;
    std::unordered_map<std::string_view, service_entry> services;
    std::unordered_map<std::string_view, route_entry> routes;
    std::unordered_map<std::string_view, const config::account_config*> accounts;
    std::vector<std::string> regions;  ///< All regions of the configuration.
};

/// Builds the index of a snapshot, without routes whose service does not exist. `snapshot` must not
/// be null and must contain a configuration.
std::shared_ptr<const routing_table> build_routing_table(
    std::shared_ptr<const router::routing_snapshot> snapshot);

}  // namespace mimosavalve::traffic
