#pragma once

#include <functional>
#include <optional>
#include <string>

#include "mimosavalve/gateway/gateway_settings.hpp"
#include "mimosavalve/gateway/platform_port.hpp"

namespace mimosavalve::gateway {

/// Functions and paths that the daemon needs from its platform.
struct daemon_binding {
    /// Returns the settings of this process, or nothing and sets `problem` if they are unusable.
    std::function<std::optional<gateway_settings>(std::string& problem)> read_settings;
    std::function<platform_port(const platform_clients&, const gateway_settings&)> make_platform;
    std::string settings_path;  ///< File that is watched for changes.
};

/// Runs a router until SIGTERM or SIGINT. Returns the exit code of the process.
int run_gateway(const daemon_binding& binding);

}  // namespace mimosavalve::gateway
