#pragma once

#include <functional>

#include "fleet_state.hpp"
#include "lifetime.hpp"

namespace mimosavalve::gateway {

/// Takes what this router has seen since the last report.
void move_reports(router_core& core, sync_request& out);

/// Follows the leader: one call at a time reports what this router has seen and brings the news.
class sync_client {
public:
    struct callbacks {
        std::function<void(const sync_reply&)> news;
    };

    sync_client(router_core& core, fleet_state& fleet, call_client& calls, callbacks handlers);

    void tick(boot_time now);
    /// Calls the leader without a pause, since another one is known.
    void hurry() { next_call_ = {}; }
    /// The maps of keys, or the registry, were read from elsewhere: differences to what the leader
    /// told last do not apply.
    void forget_maps() { followed_maps_.clear(); }
    void forget_registry() { followed_registry_ = 0; }

    /// Whether the leader told news lately that were not old themselves.
    [[nodiscard]] bool is_informed(boot_time now) const;

private:
    void call_leader();
    void take_answer(std::uint64_t epoch, std::error_code error, const call_answer& answer);
    void take(const sync_reply& reply);
    [[nodiscard]] sync_request make_request();

    router_core& core_;
    fleet_state& fleet_;
    call_client& calls_;
    callbacks handlers_;
    bool running_ = false;
    boot_time next_call_;
    boot_time informed_;
    std::uint32_t failures_ = 0;  ///< In a row.
    // As numbered by the leader of this epoch.
    std::uint64_t followed_epoch_ = 0;
    std::uint64_t followed_reply_ = 0;
    std::uint64_t followed_registry_ = 0;
    std::map<std::string, std::uint64_t> followed_maps_;
    bool long_holds_announced_ = false;
    lifetime life_;
};

}  // namespace mimosavalve::gateway
