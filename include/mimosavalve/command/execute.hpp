#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "mimosavalve/command/config_writer.hpp"
#include "mimosavalve/command/result.hpp"
#include "mimosavalve/config/fleet_config.hpp"
#include "mimosavalve/core/types.hpp"
#include "mimosavalve/observe/event_record.hpp"
#include "mimosavalve/ownership/shard_state.hpp"

namespace mimosavalve::command {

/// What this router knows of a shard.
struct shard_report {
    std::shared_ptr<const ownership::shard_state> state;
    version in_force;                          ///< Newest version known to be in force.
    std::uint64_t in_force_since_unix_ms = 0;  ///< 0: not known.
    steady_time lease_until;                   ///< End of this router's serving lease.
};

struct held_shard {
    shard_id shard;
    version held;
};

/// What this router knows of a live router, itself included.
struct router_report {
    instance_id id;
    std::string region;
    std::string failure_domain;
    std::string address;  ///< "ip:port" of its peer socket.
    std::uint64_t config_version = 0;
    std::vector<held_shard> shards;
};

struct status_counter {
    std::string name;
    std::uint64_t value = 0;
};

/// Event records of all routers, one list for each.
struct event_answer {
    std::vector<std::vector<observe::event_record>> records;
    std::vector<std::string> silent_hosts;  ///< Live routers that did not answer.
};

struct wait_answer {
    bool in_force = false;
    std::vector<std::string> laggards;  ///< Live routers that hold an older version.
};

/// What commands need of the daemon. The functions run on the thread that calls `execute`, and the
/// handlers are called on that thread.
struct command_context {
    std::string host;
    std::string region;
    /// Null when the router holds no configuration yet.
    std::function<std::shared_ptr<const config::fleet_config>()> fleet_config;
    std::function<std::vector<shard_report>()> shards;
    std::function<std::vector<router_report>()> routers;
    std::function<std::vector<status_counter>()> counters;
    /// Newest configuration version that is in force on every live router.
    std::function<std::uint64_t()> config_in_force;
    std::function<void(std::uint64_t version, steady_time deadline,
                       std::function<void(wait_answer)>)>
        wait_in_force;
    std::function<void(observe::event_query, steady_time deadline,
                       std::function<void(event_answer)>)>
        query_events;
    /// As `command::submit_change` and `command::try_change`.
    std::function<void(change_request, steady_time deadline, change_handler)> submit_change;
    std::function<void(change_request, steady_time deadline, change_handler)> try_change;
    std::function<std::string()> make_identity;  ///< A new name, for a change without `--id`.
    std::function<steady_time()> now;
    std::function<std::uint64_t()> unix_ms;
    std::chrono::milliseconds change_time{5000};   ///< For recording a change.
    std::chrono::milliseconds explain_time{1000};  ///< For gathering event records.
};

using result_handler = std::function<void(command_result)>;

/// Runs one command. The handler is called once, possibly inside the call; `context` must live
/// until then.
void execute(std::string_view text, const command_context& context, const result_handler& handler);

}  // namespace mimosavalve::command
