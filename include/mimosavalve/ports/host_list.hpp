#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <system_error>
#include <vector>

#include "mimosavalve/core/types.hpp"

namespace mimosavalve::ports {

/// One line of the platform's list. The list lags behind the truth by seconds.
struct listed_host {
    std::string id;
    std::string role;     ///< "router" or "target"
    std::string service;  ///< Only for targets.
    std::string address;  ///< "ip:port"; the peer socket of a router, the HTTP port of a target.
    std::string region;
    std::string failure_domain;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    bool leaving = false;

    bool operator==(const listed_host&) const = default;
};

/// The platform's host list. Callbacks run on the calling thread, never inside the call.
struct host_list {
    using handler = std::function<void(std::error_code, std::vector<listed_host>)>;

    std::function<void(steady_time deadline, handler)> read;
};

}  // namespace mimosavalve::ports
