#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "mimosavalve/ports/host_list.hpp"

namespace mimosavalve::standins {

/// Settings of `mv-hosts`.
struct hosts_settings {
    std::string listen = "127.0.0.1:0";
    std::string port_file;             ///< Empty: none.
    std::chrono::milliseconds lag{0};  ///< After which a change is shown.
    std::vector<ports::listed_host> hosts;
};

/// Reads the settings; every fault is added to `errors`.
hosts_settings load_hosts_settings(const std::string& file, std::vector<std::string>& errors);

}  // namespace mimosavalve::standins
