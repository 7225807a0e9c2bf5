#pragma once

#include <functional>

#include "fleet_state.hpp"
#include "lifetime.hpp"

namespace mimosavalve::gateway {

/// Keeps the table of targets: reads the registry from the store when asked to, or takes it from
/// the leader.
class registry_reader {
public:
    /// `changed`: something that decisions depend on.
    registry_reader(router_core& core, fleet_state& fleet, std::function<void()> changed);

    /// Reads the registry unless it was read lately or is being read.
    void read_when_due(boot_time now);
    /// Reads it again at once, at the next call of `read_when_due`.
    void hurry() { next_read_ = {}; }

    void take(const registry_state& next);
    void set_evacuated(const std::set<std::string>& domains);

private:
    void take_reading(std::error_code error, const store_items& items);

    router_core& core_;
    fleet_state& fleet_;
    std::function<void()> changed_;
    registry_outage memory_;
    bool running_ = false;
    boot_time next_read_;
    lifetime life_;
};

}  // namespace mimosavalve::gateway
