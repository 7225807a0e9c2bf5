#pragma once

#include <functional>
#include <string>

#include "mimosavalve/ports/store.hpp"

namespace mimosavalve::router {

/// What writing the first fleet configuration needs of its process.
struct initial_config_environment {
    ports::store store;
    std::function<steady_time()> now;
    std::function<void(std::chrono::milliseconds, std::function<void()>)> after;
};

/// Writes `value` as the fleet configuration when the store has none. Tries again until the store
/// holds one: a conflict or an existing value means that another router was first.
void write_initial_config(initial_config_environment environment, std::string value);

}  // namespace mimosavalve::router
