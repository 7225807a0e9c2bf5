#pragma once

#include <functional>
#include <optional>

#include "fleet_state.hpp"
#include "lifetime.hpp"
#include "mimosavalve/gateway/state_update.hpp"

namespace mimosavalve::gateway {

/// Keeps the table of targets up to date: reads the registry from the store on request, or applies
/// the one received from the leader. After a first listing, a read is one call that returns the
/// changes since the last read.
class registry_reader {
public:
    /// `changed` is called after a change that routing depends on.
    registry_reader(router_core& core, fleet_state& fleet, std::function<void()> changed);

    /// Reads the registry if the read interval has passed and no read is in flight.
    void read_when_due(boot_time now);
    /// Makes the next call of `read_when_due` list all targets at once.
    void make_due() { next_read_ = next_listing_ = {}; }

    /// Applies an update to the registry that the leader sent last. The result is used unless this
    /// router has read a newer registry itself; of one from before the store came back older, the
    /// newer entries are used.
    void apply_from_leader(const registry_update& update);
    void set_evacuated(const std::set<std::string>& domains);

private:
    enum class read_kind { listing, changes };

    /// `began_at`: when the read was sent.
    void on_reading(read_kind kind, boot_time began_at, std::error_code error,
                    const store_items& items);
    /// The store has come back from an older copy.
    void on_new_era(std::uint64_t era, boot_time now);
    void apply_listing(const store_items& items, boot_time now);
    void apply_changes(const store_items& items);
    /// Applies what this router has read itself.
    void apply_reading(const registry_state& next);
    /// Replaces the registry and updates the table of targets.
    void apply(const registry_state& next);
    [[nodiscard]] std::optional<target_entry> decode(const store_item& item);

    router_core& core_;
    fleet_state& fleet_;
    std::function<void()> changed_;
    registry_outage outage_;
    /// Since then live targets have written again what the store lost when it came back older.
    boot_time rewritten_at_;
    /// Registry that the leader sent last, if this router has read another one since.
    std::optional<registry_state> leader_registry_;
    bool call_in_flight_ = false;
    boot_time next_read_;
    milliseconds pause_{0};   ///< Last pause after a failed read.
    bool must_list_ = false;  ///< The next read lists all targets.
    boot_time next_listing_;  ///< From then on, all targets are listed again.
    lifetime life_;
};

}  // namespace mimosavalve::gateway
