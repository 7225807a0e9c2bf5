#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "mimosavalve/gateway/config_update.hpp"
#include "mimosavalve/gateway/peer_messages.hpp"
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
    /// Whether this router reads the operators' items in the store. A router that follows a leader
    /// with a recent state does not, since the answers contain the whole configuration.
    void set_reading(bool on);
    /// Applies the items of the leader's reply if they are newer.
    void apply_from_leader(const sync_reply& reply);
    /// Applies changes of the configuration received from another router.
    void apply_update(const config_update& update, std::string_view from);

    /// Changes since a version of the configuration; all of it if they are not known.
    [[nodiscard]] config_update config_since(std::uint64_t version) const;
    [[nodiscard]] const std::set<std::string>& evacuated() const { return evacuated_; }
    [[nodiscard]] std::uint64_t revision() const { return follower_.revision(); }

private:
    /// Called with each revision that operators' items were received with.
    void note_era(std::uint64_t revision);
    void list_when_rewritten(milliseconds pause);
    void apply_all(const store_items& items);
    void apply_item(const store_item& item);
    void apply_config(const std::string& text, std::uint64_t revision);
    /// Puts a configuration into force that is newer than the present one and valid.
    void apply_valid(operator_config config, std::uint64_t revision, std::string_view from);
    void reject(const std::string& problem, std::uint64_t revision, std::string_view from);
    void set_evacuated(const std::string& domain, bool on);

    router_core& core_;
    callbacks handlers_;
    store_follower follower_;
    config_history history_;
    std::uint64_t decoded_revision_ = 0;  ///< Revision of the last configuration that was decoded.
    bool is_reading_ = true;
    std::set<std::string> evacuated_;
    std::optional<std::uint64_t> known_era_;
    boot_time rewritten_at_;  ///< Until then operators may not have written their items again.
    bool must_list_ = false;  ///< No listing since the era began was later than that.
    std::uint64_t next_older_config_era_ = 0;  ///< Older configurations of eras before are logged.
    lifetime life_;
};

}  // namespace mimosavalve::gateway
