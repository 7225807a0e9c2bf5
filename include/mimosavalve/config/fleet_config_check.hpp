#pragma once

#include <string>
#include <vector>

#include "mimosavalve/config/fleet_config.hpp"

namespace mimosavalve::config {

/// A value of a fleet configuration that does not fit the rest of it.
struct inconsistency {
    std::string field;  ///< Path, for instance "routes[1].service".
    std::string value;
    std::string allowed;

    bool operator==(const inconsistency&) const = default;
};

/// Everything that makes a configuration impossible: bad or repeated names, references to what does
/// not exist, values out of range. Empty when the configuration can be put in force.
std::vector<inconsistency> inconsistencies_of(const fleet_config& config);

}  // namespace mimosavalve::config
