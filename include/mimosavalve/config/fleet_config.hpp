#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace mimosavalve::config {

/// Priority of traffic; lower values go first.
enum class traffic_class {
    status,
    order,
    upload,
};

struct region_config {
    std::string name;
    std::vector<std::string> failure_domains;

    bool operator==(const region_config&) const = default;
};

/// A set of targets that serve the same kind of key.
struct service_config {
    std::string name;
    bool keyed = true;                     ///< Each key has one owner; else any target may serve.
    std::uint32_t slots_per_region = 256;  ///< Only for keyed services.
    bool checks_fence = true;              ///< Its targets check fences of requests and orders.

    bool operator==(const service_config&) const = default;
};

/// What the first segment of a request's path selects.
struct route_config {
    std::string name;
    std::string service;
    traffic_class priority = traffic_class::status;
    bool non_idempotent = false;              ///< `POST` requests need an idempotency key.
    std::chrono::milliseconds timeout{2000};  ///< Longest time that a request may take.
    std::uint64_t max_body_bytes = std::uint64_t{1} << 20U;

    bool operator==(const route_config&) const = default;
};

/// A customer.
struct account_config {
    std::string name;
    std::vector<std::string> home_regions;  ///< Empty: may be served anywhere.
    double requests_per_second = 0;         ///< 0: not limited.
    /// The home regions have changed and are not activated: requests of the account are refused
    /// `not_run`, so that no key is served in an old and a new region at the same time.
    bool home_moving = false;

    bool operator==(const account_config&) const = default;
};

/// A decision of the distant authority on the scope of a dispute.
struct ruling {
    std::string scope;                ///< What it concerns, for instance "account/ward-4".
    std::string upheld;               ///< Name of the side upheld.
    std::uint64_t since_version = 0;  ///< Commands on the scope based on an older version lose.

    bool operator==(const ruling&) const = default;
};

/// An accepted command. The newest ones are kept so that a repeat has no second effect.
struct applied_command {
    std::string id;
    std::string text;
    std::string scope;
    std::uint64_t version = 0;  ///< Configuration version that it produced.

    bool operator==(const applied_command&) const = default;
};

/// The operators' configuration: one versioned value of the store, never edited in place.
struct fleet_config {
    std::uint64_t version = 0;
    std::uint32_t shards_per_region = 1;
    std::vector<region_config> regions;
    std::vector<service_config> services;
    std::vector<route_config> routes;
    std::vector<account_config> accounts;
    std::vector<std::string> removed_domains;
    std::vector<std::string> drained_targets;
    std::vector<ruling> rulings;
    std::vector<applied_command> applied;

    bool operator==(const fleet_config&) const = default;
};

}  // namespace mimosavalve::config
