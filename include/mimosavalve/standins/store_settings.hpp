#pragma once

#include <string>
#include <vector>

#include "mimosavalve/standins/store_service.hpp"

namespace mimosavalve::standins {

/// Settings of `mv-store`.
struct store_settings {
    std::string listen = "127.0.0.1:0";
    std::string port_file;  ///< Empty: none.
    store_service_options service;
};

/// Reads the settings; every fault is added to `errors`.
store_settings load_store_settings(const std::string& file, std::vector<std::string>& errors);

}  // namespace mimosavalve::standins
