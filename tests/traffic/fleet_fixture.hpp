#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "mimosavalve/router/routing_snapshot.hpp"

namespace mimosavalve::test {

/// A region "bagmati" with one shard. In the keyed service "status" the target "status-1" owns all
/// 16 slots and "status-2" none; the unkeyed service "orders" has two targets in two failure
/// domains.
struct fleet_fixture {
    config::fleet_config config;
    ownership::shard_state state;
    version in_force{1, 1};
    std::uint32_t live_routers = 1;
    std::shared_ptr<router::lease_deadline> lease = std::make_shared<router::lease_deadline>();

    fleet_fixture() {
        config.version = 1;
        config.regions = {{"bagmati", {"bagmati-a", "bagmati-b"}},
                          {"gandaki", {"gandaki-a", "gandaki-b"}}};
        config.services = {{"status", true, 16, true}, {"orders", false, 0, false}};
        config.routes = {
            {"status", "status", config::traffic_class::status, false, seconds(2), 1U << 20U},
            {"pay", "status", config::traffic_class::order, true, seconds(2), 1U << 20U},
            {"orders", "orders", config::traffic_class::order, false, seconds(2), 1U << 20U},
            {"upload", "status", config::traffic_class::upload, false, seconds(20), 1U << 26U},
        };
        config.accounts = {{"ward-4", {"bagmati"}, 0},
                           {"ward-5", {"bagmati", "gandaki"}, 0},
                           {"ward-6", {"gandaki"}, 0},
                           {"limited", {"bagmati"}, 5}};
        state.shard = {"bagmati", 0};
        state.at = {1, 1};
        state.config_version = 1;
        add_target("status-1", "status", "bagmati-a");
        add_target("status-2", "status", "bagmati-b");
        add_target("orders-1", "orders", "bagmati-a");
        add_target("orders-2", "orders", "bagmati-b");
        ownership::assign(state, "status", 0, 16, "status-1", {1, 1});
        lease->extend_to(std::chrono::steady_clock::now() + std::chrono::hours(1));
    }

    void add_target(const std::string& id, const std::string& service, const std::string& domain) {
        ownership::target added;
        added.id = id;
        added.service = service;
        added.address = "127.0.0.1:9";
        added.failure_domain = domain;
        added.slots = 4;
        added.connections = 130;
        state.targets.push_back(added);
    }

    ownership::target& target(std::string_view id) {
        for (auto& entry : state.targets) {
            if (entry.id == id) {
                return entry;
            }
        }
        return state.targets.front();
    }

    [[nodiscard]] std::shared_ptr<const router::routing_snapshot> snapshot() const {
        auto snapshot = std::make_shared<router::routing_snapshot>();
        snapshot->config = std::make_shared<config::fleet_config>(config);
        snapshot->shards.push_back(
            {std::make_shared<ownership::shard_state>(state), in_force, lease});
        snapshot->own_region = "bagmati";
        snapshot->live_routers = live_routers;
        return snapshot;
    }

    static std::chrono::milliseconds seconds(int count) { return std::chrono::seconds(count); }
};

}  // namespace mimosavalve::test
