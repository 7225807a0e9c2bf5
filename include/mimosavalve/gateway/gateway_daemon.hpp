#pragma once

#include <functional>
#include <optional>
#include <string>

#include "mimosavalve/gateway/gateway_settings.hpp"
#include "mimosavalve/gateway/platform_port.hpp"

namespace mimosavalve::gateway {

/// What the daemon needs from the platform it runs on.
struct daemon_binding {
    /// Settings of this process; nothing, with the problem, when they cannot be used.
    std::function<std::optional<gateway_settings>(std::string& problem)> read_settings;
    std::function<platform_port(const platform_clients&, const gateway_settings&)> make_platform;
    std::string settings_path;  ///< Watched for changes.
};

/// Runs a router until it is told to stop. Returns the exit code of the process.
int run_gateway(const daemon_binding& binding);

}  // namespace mimosavalve::gateway
