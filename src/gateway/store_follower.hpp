#pragma once

#include <algorithm>
#include <functional>
#include <string>
#include <string_view>

#include "fleet_state.hpp"
#include "lifetime.hpp"

namespace mimosavalve::gateway {

/// Follows the items under one prefix of the store: lists them, then watches for changes. After an
/// error, or when the store has discarded the history, it lists them again.
class store_follower {
public:
    struct callbacks {
        std::function<void(const store_items&)> listed;   ///< All items under the prefix.
        std::function<void(const store_items&)> changed;  ///< Items that have changed since.
    };

    /// `name` is for the log.
    store_follower(router_core& core, fleet_state& fleet, std::string name, callbacks handlers);

    void start(std::string prefix);
    /// Stops following after the call in flight, or continues from `revision`.
    void set_following(bool on);
    /// Sets how long a watch waits for a change. A router that has stopped following still gets
    /// the changes within that time.
    void set_watch_time(milliseconds time) { watch_time_ = time; }
    /// Tells that the items up to a revision are known from elsewhere.
    void advance(std::uint64_t revision) { revision_ = std::max(revision_, revision); }
    /// Lists the items once in addition to the watch, which may miss changes while the store
    /// discards its history.
    void check();
    /// Store revision up to which the items have been read; 0: not listed yet.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

private:
    void list();
    void watch();
    void list_later();
    /// Counts the bytes of an answer, and logs one whose transfer took long.
    void log_transfer(std::string_view call, const store_items& items) const;

    router_core& core_;
    fleet_state& fleet_;
    std::string name_;
    callbacks handlers_;
    std::string prefix_;
    std::uint64_t revision_ = 0;
    milliseconds pause_{0};
    milliseconds watch_time_;
    bool is_following_ = false;
    bool is_running_ = false;  ///< A list or watch, or the pause before one, is in progress.
    lifetime life_;
};

}  // namespace mimosavalve::gateway
