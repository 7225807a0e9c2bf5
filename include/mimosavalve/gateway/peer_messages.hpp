#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mimosavalve/gateway/config_update.hpp"
#include "mimosavalve/gateway/crash_watch.hpp"
#include "mimosavalve/gateway/dispatch_plan.hpp"
#include "mimosavalve/gateway/key_load.hpp"
#include "mimosavalve/gateway/key_map.hpp"
#include "mimosavalve/gateway/state_update.hpp"
#include "mimosavalve/gateway/target_notice.hpp"
#include "mimosavalve/gateway/target_registry.hpp"

namespace mimosavalve::gateway {

/// Age, in ms, of an event that has never happened.
inline constexpr std::uint64_t never_ms = 1'000'000'000;

/// A target's answer that it does not hold the keys of a range of which it was known as the owner.
struct misdirected_report {
    std::string service;
    std::uint32_t first_key = 0;  ///< Of the range.
    std::string target;
    std::uint64_t target_instance = 0;  ///< Start of its process, Unix ms.
    std::uint64_t fence = 0;            ///< Fence of the range as the router knows it.

    bool operator==(const misdirected_report&) const = default;
};

/// Router to leader, about every 300 ms: the versions that the router has, and its reports.
struct sync_request {
    std::string host;
    std::string address;  ///< Address of the port for calls of other routers.
    std::string failure_domain;
    std::uint64_t instance = 0;  ///< Random number chosen at each start of the router's process.
    std::uint64_t epoch = 0;     ///< Epoch of the leader that the router follows.
    bool store_lost = false;     ///< Whether the router cannot reach the store.
    bool long_holds_received = false;  ///< Whether the leader's last reply announced long holds.
    /// Time since the router last reported `long_holds_received` to any leader; `never_ms` if
    /// never.
    std::uint64_t long_holds_age_ms = never_ms;
    std::uint64_t config_version = 0;
    /// Number of the last reply received from this leader; 0: none.
    std::uint64_t reply_number = 0;
    std::uint64_t registry_number = 0;  ///< Number of the registry state, assigned by the leader.
    /// Numbers of the maps of keys, assigned by the leader, by service.
    std::map<std::string, std::uint64_t> map_numbers;
    std::map<std::string, key_load> key_loads;  ///< By service, since the last report.
    /// Number of requests by destination, since the last report.
    std::map<std::string, std::uint32_t> demand;
    struct work_report {
        std::uint32_t count = 0;
        double sum_ms = 0;
    };
    /// Targets that answered since the last report, with the number and total work time of
    /// the requests that did not queue at the target.
    std::map<std::string, work_report> work;
    crash_report crashes;
    /// Targets that have said that they leave, with the start of the instance.
    std::map<std::string, std::uint64_t> leaving;
    /// Request limits that the router knows, by target.
    std::map<std::string, limit_report> limits;
    double capacity = 1;       ///< Share of a processor core that its host has, in cores.
    std::uint64_t lag_ms = 0;  ///< Maximum lateness of its event loop since the last call.
    /// Owners that have answered since the last report that they do not hold the keys.
    std::vector<misdirected_report> misdirected;
    /// Targets at whose address another one has answered since the last report, with the start of
    /// the instance that was expected there.
    std::map<std::string, std::uint64_t> moved;
    /// Address for forwarded requests (see dispatch_plan.hpp); empty: it accepts none.
    std::string forward_address;
};

/// Leader to router: state that the router does not have yet. Values that are unchanged since the
/// last reply are left out.
struct sync_reply {
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;   ///< Increases with each reply to the same router.
    std::uint32_t routers = 1;  ///< Number of routers that share fleet-wide limits.
    std::uint32_t rank = 0;     ///< Position of the calling router among the fleet's routers.
    /// Time since the leader sent the last read of the registry that succeeded.
    std::uint64_t store_age_ms = 0;
    std::uint64_t held_ms = 0;  ///< Time between the arrival of the call and this reply.
    std::uint64_t config_version = 0;
    std::optional<config_update> config;  ///< Changes since the router's configuration.
    /// Address of a router that has this configuration, which the caller gets from there; empty if
    /// it has it, or is to wait.
    std::string config_source;
    bool long_holds = false;  ///< Whether the leader will grant holds of the maximum time.
    /// Store revision up to which the leader has read operators' items.
    std::uint64_t operators_revision = 0;
    std::set<std::string> evacuated_domains;
    std::uint64_t registry_number = 0;
    std::optional<registry_update> registry;
    std::map<std::string, std::uint64_t> map_numbers;
    std::map<std::string, key_map_update> maps;  ///< Changed maps, by service.
    /// Maximum number of requests at a time, by target without keys.
    std::optional<std::map<std::string, std::uint32_t>> concurrency_quotas;
    /// Maximum number of requests per second, by target near its capacity.
    std::optional<std::map<std::string, double>> rate_quotas;
    std::map<std::string, double> work_ms;  ///< Changed mean work times, by target.
    std::optional<crash_findings> crashes;
    /// Requests per second allotted to the router, by limited target; negative: the limit has
    /// ended.
    std::map<std::string, double> limit_shares;
    /// Targets that have said to any router that they leave, with the start of the instance.
    std::map<std::string, std::uint64_t> leaving;
    double top_capacity = 0;  ///< Largest capacity of the fleet's hosts, in cores; 0: not known.
    std::string successor;    ///< Host that is to lead next; empty: no transfer is in progress.
    /// Dispatchers that are named, if they have changed.
    std::optional<dispatcher_names> dispatchers;
    /// Fraction of its requests for a service that the router may send to other failure domains, by
    /// service, then by domain.
    std::optional<std::map<std::string, std::map<std::string, double>>> overflow;
};

std::string encode(const sync_request& message);
std::string encode(const sync_reply& message);
/// Call for the changes of the configuration since a version, and the answer to it.
std::string encode_config_request(std::uint64_t version);
std::optional<std::uint64_t> decode_config_request(std::string_view bytes);
std::string encode(const config_update& update);
std::optional<config_update> decode_config_update(std::string_view bytes);
std::optional<sync_request> decode_sync_request(std::string_view bytes);
std::optional<sync_reply> decode_sync_reply(std::string_view bytes);

/// The current leader. Recorded in the store, and sent by a new leader to the recorded routers that
/// do not follow it yet: some may be unable to reach the store and still follow a previous leader
/// that cannot reach it either.
struct leader_identity {
    std::string host;
    std::string address;
    std::uint64_t instance = 0;
    std::uint64_t epoch = 0;  ///< 0 in the store, where the revision of the item is the epoch.
    /// Era of the store in which the leader was elected (see `store_era_of`); not set by earlier
    /// versions of the program.
    std::optional<std::uint64_t> store_era = std::nullopt;
};
std::string encode(const leader_identity& message);
std::optional<leader_identity> decode_leader_identity(std::string_view bytes);

/// One instance of a router, as recorded by the leader.
struct router_instance {
    router_instance(std::uint64_t instance_id = 0, std::string peer_address = {})
        : id(instance_id), address(std::move(peer_address)) {}

    std::uint64_t id = 0;  ///< `sync_request::instance` of the router.
    std::string address;   ///< Address of the port for calls of other routers.

    bool operator==(const router_instance&) const = default;
};
using router_instances = std::map<std::string, router_instance>;  ///< By host.

/// The leader's record of router instances in the store.
struct router_record {
    router_instances instances;
    /// Epoch of the leader that wrote it; 0 if it was an earlier version of the program.
    std::uint64_t epoch = 0;
    /// Time from the write to the latest end of holds that earlier leaders granted, as the writer
    /// knew it; 0 if a successor waits for their end anyway.
    std::uint64_t inherited_holds_ms = 0;
};
std::string encode(const router_record& record);
std::optional<router_record> decode_router_record(std::string_view bytes);

/// The leader's record of the owners of one service in the store.
struct key_record {
    key_map owners;
    std::uint64_t epoch = 0;  ///< As in `router_record`.

    bool operator==(const key_record&) const = default;
};
std::string encode(const key_record& record);
std::optional<key_record> decode_key_record(std::string_view bytes);
/// Record as earlier versions of the program write it, without an epoch.
std::string encode(const key_map& map);
/// Owners of a record.
std::optional<key_map> decode_key_map(std::string_view bytes);

}  // namespace mimosavalve::gateway
