#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "mimosavalve/gateway/clock.hpp"

namespace mimosavalve::gateway {

/// Router that has the newest configuration or needs it.
struct config_peer {
    std::string host;
    std::string failure_domain;
    std::string region;
    std::string address;  ///< Address of the port for calls of other routers.
};

/// Transfers of the newest configuration between routers, as the leader has arranged them.
struct config_distribution {
    struct transfer {
        std::string from;
        std::string to;
        std::string to_region;
        bool crosses_regions = false;
        boot_time until;  ///< Then it has ended or failed.
    };
    std::uint64_t version = 0;
    std::vector<transfer> running;
    std::map<std::string, std::uint32_t> sent_by;  ///< Number of transfers so far, by host.
};

/// Ends the transfer to a router that has the configuration (`receiver`, may be empty), and those
/// whose time is over. Forgets all of them when another version than `version` was distributed.
void update_transfers(config_distribution& distribution, std::uint64_t version,
                      const std::string& receiver, boot_time now);

/// Chooses and records the router from which `to` gets a configuration with many changes; null if
/// `to` has to wait, also for a transfer to it that is running. Each router that has it sends it to
/// a few others at a time, so that neither the leader's link nor the link between two regions
/// carries one copy for each router: it crosses to a region only while no router there has it.
const config_peer* choose_source(config_distribution& distribution,
                                 std::span<const config_peer> holders, const config_peer& to,
                                 milliseconds transfer_time, boot_time now);

}  // namespace mimosavalve::gateway
