#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <system_error>

#include "mimosavalve/command/config_writer.hpp"
#include "mimosavalve/config/fleet_config.hpp"

namespace mimosavalve::command {

/// The stored configuration with its revision.
struct stored_config {
    config::fleet_config config;
    std::uint64_t revision = 0;
};

using stored_config_handler = std::function<void(std::error_code, stored_config)>;

/// Reads the configuration of the store. When the store has none, `initial` is recorded first; of
/// several processes that start together, one wins and all get its configuration.
///
/// Errors: `errc::not_found` when there is neither, `errc::malformed_message`, and
/// `errc::store_unavailable` after the deadline. `environment` must live until the handler has run.
void load_or_record_config(const writer_environment& environment,
                           std::optional<config::fleet_config> initial, steady_time deadline,
                           stored_config_handler handler);

}  // namespace mimosavalve::command
