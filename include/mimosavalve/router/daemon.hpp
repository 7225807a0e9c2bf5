#pragma once

#include <memory>
#include <optional>
#include <string>
#include <system_error>

#include "mimosavalve/config/fleet_config.hpp"
#include "mimosavalve/config/process_settings.hpp"

namespace mimosavalve::router {

struct daemon_options {
    config::process_settings settings;
    /// Written to the store when it contains no configuration.
    std::optional<config::fleet_config> initial_config;
    /// File to write with a line "NAME PORT" for each of callers, peers and admin; empty for none.
    std::string port_file;
};

/// One router daemon: the traffic threads, the control thread and the admin port.
class daemon {
public:
    explicit daemon(daemon_options options);
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;
    daemon(daemon&&) = delete;
    daemon& operator=(daemon&&) = delete;

    /// Binds all sockets and starts the traffic threads. Returns an error of the operating system.
    std::error_code start();

    /// Runs the control thread on the calling thread until a planned stop has ended. SIGTERM and
    /// SIGINT start the planned stop.
    void run();

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace mimosavalve::router
