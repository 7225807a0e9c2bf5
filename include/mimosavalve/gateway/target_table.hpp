#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "mimosavalve/gateway/clock.hpp"
#include "mimosavalve/gateway/gateway_settings.hpp"
#include "mimosavalve/gateway/key_map.hpp"
#include "mimosavalve/gateway/platform_port.hpp"
#include "mimosavalve/gateway/rate_gate.hpp"
#include "mimosavalve/gateway/route_config.hpp"
#include "mimosavalve/gateway/target_registry.hpp"

namespace mimosavalve::gateway {

/// What this router knows of a target beyond its entry.
struct target_state {
    target_entry entry;
    std::uint32_t running = 0;      ///< Requests of this router at the target.
    boot_time sent_at;              ///< When this router last sent it a request.
    std::uint32_t connections = 0;  ///< Open ones of this router, idle ones too.
    target_load load;               ///< As last reported,
    std::uint32_t load_own = 0;     ///< with so many of this router's requests still there.
    boot_time load_at;
    double work_ms = 0;                  ///< Mean time of its work without a queue; 0: not known.
    double answer_ms = 0;                ///< Running mean of the time from a send to its answer.
    std::uint32_t work_count = 0;        ///< Answers without a queue since the last report,
    double work_sum_ms = 0;              ///< and the sum of their times.
    bool answered = false;               ///< Any good answer since the last report.
    boot_time answered_at;               ///< Leader: last report of a good answer, by any router.
    std::uint32_t failures = 0;          ///< In a row, without any answer.
    boot_time avoid_until;               ///< Set after failures in a row.
    std::uint32_t refused_connects = 0;  ///< In a row.
    boot_time unreachable_until;         ///< Set after connects that failed in a row.
    boot_time cold_until;                ///< Cold until then, as far as is known.
    rate_gate cold_gate;                 ///< This router's share of what a cold target bears.
    double lent_rate = 0;  ///< Requests per second that this router may send; 0: no bound.
    double tokens = 0;     ///< Of that rate.
    boot_time tokens_at;
};

/// Everything that routing decisions read; changed by the control side only.
struct routing_state {
    route_config config;
    route_index routes;
    registry_state registry;
    std::map<std::string, key_map, std::less<>> keys;       ///< By service.
    std::map<std::string, boot_time, std::less<>> keys_at;  ///< When they were learnt.
    std::map<std::string, std::unique_ptr<target_state>, std::less<>> targets;
    region_map regions;
    std::string own_domain;
    std::string own_region;
    platform_bounds bounds;
    std::uint32_t routers = 1;  ///< Routers that share limits which hold for their sum.
    std::uint32_t rank = 0;     ///< Of this router among them, from 0.
    /// Connections of processes that ran on our hosts before may be open at the targets until then.
    boot_time former_connections_until;
    /// Requests that this router may have at each target without keys, lent by the leader. Empty:
    /// nothing was lent yet.
    std::map<std::string, std::uint32_t, std::less<>> places;
};

/// Brings `targets` in line with the registry. A target that started anew gets a new state; the
/// removed ones are returned, since their connections may still be in use.
std::vector<std::unique_ptr<target_state>> update_targets(routing_state& state, boot_time now);

/// Counts a request that is on its way to the target from now on.
void note_send(target_state& target, boot_time now);
/// Notes the load that came with an answer.
void note_load(target_state& target, const target_load& load, boot_time now);
/// `queued`: the request may have waited at the target, so its time is not that of the work.
void note_success(target_state& target, milliseconds latency, bool queued);

/// Mean time of a target's work: its own, else that of the targets of its service.
double work_ms_of(const routing_state& state, const target_state& target);
/// Requests per second that a target runs when its slots are never idle.
double capacity_of(const routing_state& state, const target_state& target);
/// A request ended without any answer; `connected`: it had a connection. Full targets may reset
/// connections, so only failed connects tell that a target is gone.
void note_failure(target_state& target, bool connected, boot_time now);

enum class choice_kind {
    target,
    wait_for_owner,  ///< The key is changing hands: try again when the map changes.
    wait_for_room,   ///< All targets have as many requests as this router may send.
    none,            ///< Nobody can run the request.
};

struct target_choice {
    choice_kind kind = choice_kind::none;
    target_state* target = nullptr;
    milliseconds expected_wait{0};  ///< For an owner; 0: not known.
};

struct choice_request {
    const route* on = nullptr;
    std::string_view service;
    std::optional<std::uint32_t> key;
    std::span<const std::string> tried;  ///< Ids of targets that had the request already.
};

/// Where a request goes now. Keyed services: the owner. Others: the target with the least expected
/// wait, preferring the own region and failure domain; targets that are about equal take turns.
target_choice choose_target(routing_state& state, const choice_request& request, boot_time now);

/// Requests that this router may have at the target at a time.
std::uint32_t window_of(const routing_state& state, const target_state& target, const service& kind,
                        boot_time now);

bool is_cold(const target_state& target, boot_time now);

/// Whether a target's region is among the homes of a route.
bool is_at_home(const routing_state& state, const target_entry& target, const route& on);

/// Whether any route may use the target.
bool has_use(const routing_state& state, const target_entry& target);

/// Whether new requests may be sent to the target at all.
bool may_send(const routing_state& state, const target_state& target, boot_time now);

}  // namespace mimosavalve::gateway
