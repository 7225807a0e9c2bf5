#pragma once

#include <functional>

#include "fleet_state.hpp"
#include "lifetime.hpp"

namespace mimosavalve::gateway {

/// Moves this router's reports since the last call into `out`.
void collect_reports(router_core& core, sync_request& out);
/// Notes and logs targets that leave, as another router (`from`) has told, with the start of the
/// instance by id.
void record_leavers(router_core& core, const std::map<std::string, std::uint64_t>& leavers,
                    std::string_view from);

/// Applies the shares of request limits that the leader has allotted to this router.
void apply_limit_shares(routing_state& state, const std::map<std::string, double>& shares,
                        boot_time sent_at);

/// Follows the leader. One call at a time carries this router's reports to the leader and returns
/// state that has changed.
class sync_client {
public:
    struct callbacks {
        std::function<void(const sync_reply&)> replied;
    };

    sync_client(router_core& core, fleet_state& fleet, call_client& calls, callbacks handlers);

    void tick(boot_time now);
    /// Makes the next `tick` call the leader without a pause; used when the leader has changed.
    void make_due() { next_call_ = {}; }
    /// Discards the numbers of the last maps of keys received from the leader. Must be called after
    /// they were read from the store, since a difference to the leader's last state does not apply
    /// to them.
    void discard_maps() { followed_maps_.clear(); }

    /// When the leader sent its last reply, or earlier.
    [[nodiscard]] boot_time heard_at() const { return heard_at_; }
    /// Whether the state that the leader sent contains all recent changes.
    [[nodiscard]] bool is_up_to_date(boot_time now) const;

private:
    void call_leader();
    /// `sent_at`: when the call was sent.
    void on_answer(std::uint64_t epoch, boot_time sent_at, std::error_code error,
                   const call_answer& answer);
    void apply(const sync_reply& reply, boot_time sent_at);
    [[nodiscard]] sync_request make_request();

    router_core& core_;
    fleet_state& fleet_;
    call_client& calls_;
    callbacks handlers_;
    bool call_in_flight_ = false;
    boot_time next_call_;
    boot_time known_at_;  ///< The leader's state contains all changes before this time.
    boot_time heard_at_;
    std::uint32_t failures_ = 0;  ///< Number of consecutive failed calls.
    // Numbers assigned by the leader of this epoch.
    std::uint64_t followed_epoch_ = 0;
    std::uint64_t followed_reply_ = 0;
    std::uint64_t followed_registry_ = 0;
    std::map<std::string, std::uint64_t> followed_maps_;
    bool long_holds_announced_ = false;
    lifetime life_;
};

}  // namespace mimosavalve::gateway
