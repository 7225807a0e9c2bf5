#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "store_follower.hpp"

namespace mimosavalve::gateway {

/// Follows the items that operators write: the configuration and the evacuated failure domains. A
/// configuration in force is never replaced by an older one. After the store has come back from an
/// older copy, operators write again what it lost; until then, only changes that the store reports
/// are applied, and evacuations that it lacks or has again are not.
class operator_items {
public:
    struct callbacks {
        std::function<void()> config_changed;
        std::function<void()> evacuations_changed;
    };

    operator_items(router_core& core, fleet_state& fleet, callbacks handlers);

    void start();
    /// Called while this router is the leader: lists the items at a fixed interval, in addition to
    /// the watch.
    void check_when_due(boot_time now);

    /// Applies the items received from the leader if they are newer.
    void apply_from_leader(const std::string& config_text, std::uint64_t revision,
                           const std::set<std::string>& evacuated);

    [[nodiscard]] const std::string& config_text() const { return config_text_; }
    [[nodiscard]] const std::set<std::string>& evacuated() const { return evacuated_; }
    [[nodiscard]] std::uint64_t revision() const { return follower_.revision(); }

private:
    /// Called with each revision that operators' items were received with.
    void note_era(std::uint64_t revision);
    void list_when_rewritten(milliseconds pause);
    void apply_all(const store_items& items);
    void apply_item(const store_item& item);
    void apply_config(const std::string& text, std::uint64_t revision);
    void set_evacuated(const std::string& domain, bool on);

    router_core& core_;
    callbacks handlers_;
    store_follower follower_;
    std::string config_text_;
    std::set<std::string> evacuated_;
    boot_time next_check_;
    std::optional<std::uint64_t> known_era_;
    boot_time rewritten_at_;  ///< Until then operators may not have written their items again.
    bool must_list_ = false;  ///< No listing since the era began was later than that.
    std::uint64_t next_older_config_era_ = 0;  ///< Older configurations of eras before are logged.
    lifetime life_;
};

}  // namespace mimosavalve::gateway
