#pragma once

#include <functional>
#include <string>

#include "fleet_state.hpp"
#include "lifetime.hpp"

namespace mimosavalve::gateway {

/// Keeps up with the items under one prefix of the store: lists them, then waits for changes. After
/// an error, or when the store has dropped the history, it lists again.
class store_follower {
public:
    struct callbacks {
        std::function<void(const store_items&)> listed;   ///< All items there are.
        std::function<void(const store_items&)> changed;  ///< What changed since.
    };

    /// `name` is for the log.
    store_follower(router_core& core, fleet_state& fleet, std::string name, callbacks handlers);

    void start(std::string prefix);
    /// Lists once more beside the watch: a watch may miss changes while the store drops its
    /// history.
    void check();
    /// Up to this revision of the store, the items are known; 0: not listed yet.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

private:
    void list();
    void watch();
    void list_later();

    router_core& core_;
    fleet_state& fleet_;
    std::string name_;
    callbacks handlers_;
    std::string prefix_;
    std::uint64_t revision_ = 0;
    milliseconds pause_{0};
    lifetime life_;
};

}  // namespace mimosavalve::gateway
