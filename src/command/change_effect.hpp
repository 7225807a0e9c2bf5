#pragma once

#include <optional>

#include "mimosavalve/command/config_change.hpp"

namespace mimosavalve::command {

/// Makes the change in `config`, without version and history; a refusal when it is not possible.
std::optional<refusal> apply_change(config::fleet_config& config, const change& what);

}  // namespace mimosavalve::command
