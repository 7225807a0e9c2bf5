#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mimosavalve/gateway/route_config.hpp"

namespace mimosavalve::gateway {

/// Changes from one version of the configuration to a later one. Routers pass these on instead of
/// the operators' text, which is large and goes to every router of the fleet.
struct config_update {
    /// Whether `routes` are all routes, which replace the previous ones.
    bool whole = false;
    std::uint64_t from_version = 0;  ///< Version to which it applies; 0 if `whole` is set.
    std::uint64_t version = 0;
    std::vector<route> routes;                ///< New and changed routes.
    std::vector<std::string> removed;         ///< Keys of removed routes, see `key_of`.
    std::map<std::string, service> services;  ///< All services.
    caller_limits limits;
};

/// Host and prefix, which identify a route within a configuration.
std::string key_of(const route& identified);

config_update whole_update(const operator_config& config);
config_update difference(const operator_config& before, const operator_config& after);
/// The update with the effect of `first` and then `second`, which applies to the result of `first`.
config_update merged(config_update first, const config_update& second);
/// The configuration after an update; nothing if the update applies to another version.
std::optional<operator_config> applied(const operator_config& config, const config_update& update);

/// The last changes of the configuration, for routers that have an earlier version.
class config_history {
public:
    /// Adds the change to the newest version.
    void add(config_update change);
    /// Changes since a version; nothing if they are not kept.
    [[nodiscard]] std::optional<config_update> since(std::uint64_t version) const;

private:
    std::deque<config_update> changes_;
    std::size_t route_count_ = 0;  ///< Routes in all `changes_`.
};

}  // namespace mimosavalve::gateway
