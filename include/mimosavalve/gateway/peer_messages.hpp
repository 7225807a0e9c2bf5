#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mimosavalve/gateway/crash_watch.hpp"
#include "mimosavalve/gateway/key_load.hpp"
#include "mimosavalve/gateway/key_map.hpp"
#include "mimosavalve/gateway/state_update.hpp"
#include "mimosavalve/gateway/target_registry.hpp"

namespace mimosavalve::gateway {

/// Age of something that never was.
inline constexpr std::uint64_t never_ms = 1'000'000'000;

/// Router to leader, about every 300 ms: what the router knows and what it has seen.
struct sync_request {
    std::string host;
    std::string address;  ///< Of the port for calls of other routers.
    std::string failure_domain;
    std::uint64_t run = 0;          ///< Random at each start of the router's process.
    std::uint64_t epoch = 0;        ///< Of the leader that the router follows.
    bool store_lost = false;        ///< The router does not reach the store either.
    bool knows_long_holds = false;  ///< The last reply announced long holds.
    /// Since the router last told any leader that it knows of long holds; `never_ms` if never.
    std::uint64_t long_holds_age_ms = never_ms;
    std::uint64_t config_version = 0;
    std::uint64_t reply_number = 0;  ///< Of the last reply that arrived from this leader; 0: none.
    std::uint64_t registry_number = 0;                 ///< As numbered by the leader.
    std::map<std::string, std::uint64_t> map_numbers;  ///< By service, as numbered by the leader.
    std::map<std::string, key_load> key_loads;         ///< By service, since the last report.
    std::map<std::string, std::uint32_t> demand;       ///< Requests by service, since then.
    struct work_report {
        std::uint32_t count = 0;
        double sum_ms = 0;
    };
    /// Targets that gave good answers since then, with those that did not queue.
    std::map<std::string, work_report> work;
    crash_report crashes;  ///< The times of losses travel as ages.
};

/// Leader to router: whatever the router does not have yet. What the last reply told is left out.
struct sync_reply {
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;  ///< Grows with each reply to the same router.
    std::uint32_t routers = 1;
    std::uint32_t rank = 0;          ///< Of the router that asked.
    std::uint64_t store_age_ms = 0;  ///< Since the leader's last good read of the store.
    std::uint64_t config_version = 0;
    std::string config_text;  ///< Empty when the router's version is as new.
    bool long_holds = false;  ///< The leader is about to grant holds as long as allowed.
    std::uint64_t operators_revision = 0;  ///< Of the store, up to which the leader knows them.
    std::set<std::string> evacuated_domains;
    std::uint64_t registry_number = 0;
    std::optional<registry_update> registry;
    std::map<std::string, std::uint64_t> map_numbers;
    std::map<std::string, key_map_update> maps;  ///< The changed ones.
    /// Requests at a time, by target without keys.
    std::optional<std::map<std::string, std::uint32_t>> places;
    /// Requests per second, by target near its capacity.
    std::optional<std::map<std::string, double>> rates;
    std::map<std::string, double> work_ms;  ///< Mean work times that have changed, by target.
    std::optional<crash_news> crashes;
};

std::string encode(const sync_request& message);
std::string encode(const sync_reply& message);
std::optional<sync_request> decode_sync_request(std::string_view bytes);
std::optional<sync_reply> decode_sync_reply(std::string_view bytes);

/// Who leads. Recorded in the store, and sent by a new leader to the routers on record that do not
/// follow it: some may not reach the store, and follow a leader that does not reach it either.
struct leader_identity {
    std::string host;
    std::string address;
    std::uint64_t run = 0;
    std::uint64_t epoch = 0;  ///< In the store: 0, since the revision of the item is the epoch.
};
std::string encode(const leader_identity& message);
std::optional<leader_identity> decode_leader_identity(std::string_view bytes);

/// One run of a router, as recorded by the leader.
struct router_run {
    router_run(std::uint64_t number = 0, std::string peer_address = {})
        : run(number), address(std::move(peer_address)) {}

    std::uint64_t run = 0;
    std::string address;  ///< Of the port for calls of other routers.

    bool operator==(const router_run&) const = default;
};
using router_runs = std::map<std::string, router_run>;  ///< By host.
std::string encode(const router_runs& runs);
std::optional<router_runs> decode_router_runs(std::string_view bytes);

/// Recorded form of the owners of one service.
std::string encode(const key_map& map);
std::optional<key_map> decode_key_map(std::string_view bytes);

}  // namespace mimosavalve::gateway
