#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "mimosavalve/gateway/clock.hpp"
#include "mimosavalve/gateway/dispatch_plan.hpp"
#include "mimosavalve/gateway/domain_overflow.hpp"
#include "mimosavalve/gateway/gateway_settings.hpp"
#include "mimosavalve/gateway/key_map.hpp"
#include "mimosavalve/gateway/owner_belief.hpp"
#include "mimosavalve/gateway/platform_port.hpp"
#include "mimosavalve/gateway/rate_limiter.hpp"
#include "mimosavalve/gateway/route_config.hpp"
#include "mimosavalve/gateway/target_notice.hpp"
#include "mimosavalve/gateway/target_registry.hpp"

namespace mimosavalve::gateway {

/// State of a target in this router, besides its registry entry.
struct target_state {
    target_entry entry;
    std::uint32_t running = 0;           ///< Requests of this router in flight to the target.
    boot_time sent_at;                   ///< Time of the last request that this router sent.
    std::uint32_t open_connections = 0;  ///< Connections of this router, including idle ones.
    target_load load;                    ///< Load that the target last reported.
    /// This router's other requests in flight at `load_received_at`.
    std::uint32_t own_in_flight_at_load = 0;
    boot_time load_received_at;  ///< Time at which `load` was received.
    double work_ms = 0;          ///< Mean duration of its work without queueing; 0: not known.
    double answer_ms = 0;        ///< Running mean of the time from a send to its answer.
    std::uint32_t work_samples =
        0;                   ///< Answers that show the duration of its work, since the last report.
    double work_sum_ms = 0;  ///< Sum of the durations of `work_samples`.
    bool answered = false;   ///< Whether it answered any request since the last report.
    boot_time answered_at;   ///< Leader only: last report of an answer to any router.
    std::uint32_t consecutive_failures = 0;  ///< Requests in a row that ended without an answer.
    boot_time avoid_until;                   ///< Set after consecutive failures.
    std::uint32_t consecutive_failed_connects = 0;  ///< Failed connects in a row.
    boot_time unreachable_until;                    ///< Set after consecutive failed connects.
    bool is_evacuated = false;                      ///< Its failure domain was evacuated lately.
    boot_time cold_until;                           ///< Latest known end of the cold time.
    rate_limiter cold_rate_limiter;                 ///< This router's share of the cold rate.
    double rate_quota = 0;     ///< Maximum requests per second of this router; 0: no limit.
    double rate_tokens = 0;    ///< Tokens of the bucket that `rate_quota` fills.
    boot_time rate_tokens_at;  ///< Time at which `rate_tokens` was computed.
    /// Distinguishes this object from later ones of the same target. Only what this object has
    /// counted in `running` and `open_connections` is subtracted from them.
    std::uint64_t number = 0;
};

/// Targets of one service.
struct service_targets {
    std::vector<target_state*> targets;  ///< In the order of their ids.
    double work_ms_sum = 0;              ///< Of those whose work time is known.
    std::uint32_t measured = 0;          ///< Number of those.
};

/// Input of routing decisions; changed only by the control plane.
struct routing_state {
    operator_config config;
    route_index routes;
    registry_state registry;
    /// `registry` contains all changes that the store acknowledged before this time. While targets
    /// write again what the store lost when it came back older, it stays where it was.
    boot_time registry_known_at;
    std::map<std::string, key_map, std::less<>> keys;  ///< Key maps by service.
    /// Times at which `keys` were received.
    std::map<std::string, boot_time, std::less<>> keys_received_at;
    std::map<std::string, std::unique_ptr<target_state>, std::less<>> targets;
    /// `targets` by service, kept by `update_targets` and `set_work_ms`.
    std::map<std::string, service_targets, std::less<>> targets_by_service;
    region_map regions;
    std::string own_host;
    std::string own_domain;
    std::string own_region;
    platform_bounds bounds;
    std::uint32_t router_count = 1;  ///< Routers among which fleet-wide limits are divided.
    std::uint32_t router_rank = 0;   ///< Rank of this router among them, from 0.
    /// Until then, connections of earlier instances of the fleet's routers may still be open at the
    /// targets, so a smaller share of a target's connections is used.
    boot_time former_connections_until;
    /// What targets have said in answers to this router, by target id.
    std::map<std::string, target_notice, std::less<>> notices;
    /// Concurrency quotas by target id: requests that this router may have at a target of a service
    /// without keys at a time, allocated by the leader. Empty until the leader has allocated any.
    std::map<std::string, std::uint32_t, std::less<>> concurrency_quotas;
    std::uint64_t target_states_created = 0;  ///< Source of `target_state::number`.
    dispatch_table dispatchers;               ///< Routers to which requests are forwarded.
    owner_beliefs beliefs;                    ///< What answers 421 have contradicted.
    overflow_table overflow;                  ///< Requests that may leave the own failure domain.
    std::map<std::string, transfer_size, std::less<>> transfer_sizes;  ///< By route.
};

/// Updates `targets` from the registry. A restarted target gets a new state. Returns the removed
/// states, since their connections may still be in use.
std::vector<std::unique_ptr<target_state>> update_targets(routing_state& state, boot_time now);

/// What a target's present instance has said; forgets what an earlier one said.
target_notice& notice_of(routing_state& state, const target_state& target);

/// Targets that have said that they leave, though their entries do not say so; with the start of
/// the instance, in Unix ms, by id.
std::map<std::string, std::uint64_t> unregistered_leavers(const routing_state& state);
/// Notes targets that have said so to another router. Returns the ids of those that are news.
std::vector<std::string> add_leavers(routing_state& state,
                                     const std::map<std::string, std::uint64_t>& leavers);

/// Time until the target's present instance wants requests again, rounded up; 0: it has asked for
/// no pause.
milliseconds pause_left(const routing_state& state, const target_state& target, boot_time now);

/// Whether the target's present instance has named a request limit. Such targets get no quotas:
/// what a quota would allow there could not be used, and quotas elsewhere would be too small.
bool has_request_limit(const routing_state& state, const target_entry& target, boot_time now);

/// Counts a request that is now in flight to the target.
void record_send(target_state& target, boot_time now);
/// Records the load that was received with an answer.
void record_load(target_state& target, const target_load& load, boot_time now);
/// Records the answer, successful or not, to a request that was run. `shows_work`: `latency` tells
/// how long the target works, since the request succeeded and did not cross regions.
void record_answer(target_state& target, milliseconds latency, bool shows_work);

/// Estimates the duration of the work of an answered request, in ms, from the time until its answer
/// and the load that the answer reported: as many requests waited before it as wait now. Without
/// this, an owner whose queue is never empty would never be measured.
double work_time_of(milliseconds latency, const target_load& load);

/// Targets of a service, also those that may get no requests.
std::span<target_state* const> targets_of(const routing_state& state, std::string_view service);

/// Sets the mean duration of a target's work, in ms.
void set_work_ms(routing_state& state, target_state& target, double work_ms);

/// Leader only: records durations of the target's work that a router reports, `count` of them with
/// this sum.
void record_work(routing_state& state, target_state& target, std::uint32_t count, double sum_ms);

/// Mean duration of a target's work, in ms; the mean of its service's targets if its own is not
/// known.
double work_ms_of(const routing_state& state, const target_state& target);
/// Requests per second that a target runs if its slots are never idle.
double capacity_of(const routing_state& state, const target_state& target);
/// Records a request that ended without an answer. `connected`: it was sent on a connection. Full
/// targets may reset connections, so only failed connects make a target unreachable.
void record_failure(target_state& target, bool connected, boot_time now);

enum class choice_kind {
    target,
    wait_for_owner,  ///< The key has no usable owner now: retry when the map changes.
    wait_for_room,   ///< This router may send no more requests to any target now.
    held_back,       ///< Every target that could run the request has said that it wants less.
    none,            ///< No target can run the request.
};

struct target_choice {
    choice_kind kind = choice_kind::none;
    target_state* target = nullptr;
    /// Wait for an owner, or until a target wants requests again; 0: not known.
    milliseconds expected_wait{0};
    leave_reason reason = leave_reason::none;  ///< Why the target is outside the own domain.
};

struct choice_request {
    const route* request_route = nullptr;
    std::string_view service;
    std::optional<std::uint32_t> key;
    std::span<const std::string> tried_targets;  ///< Ids of targets that already had the request.
    /// Whether the router may have one request at each target without a quota, since no dispatcher
    /// can be reached.
    bool ignores_quotas = false;
    /// Latest fence whose owner has answered 421 to the request, which is not sent there again; 0:
    /// none has.
    std::uint64_t refused_fence = 0;
    boot_time chosen_at{};  ///< When the target was chosen; for `is_still_eligible`.
    milliseconds age{0};    ///< Time since the request was received.
};

/// Chooses the target of a request: for keyed services the owner of the key, else the target with
/// the least expected time until the answer, including the transfer to other regions and failure
/// domains. Targets with about equal times take turns. Where the leader has announced overflow
/// shares and the own domain has usable targets, requests leave it only if that pays.
target_choice choose_target(routing_state& state, const choice_request& request, boot_time now);

/// Whether a request may still be sent to the target that was chosen for it: new requests may be
/// sent there, and it owns the key of a keyed request; no answer 421 has contradicted that since.
bool is_still_eligible(const routing_state& state, const target_state& target,
                       const choice_request& request, boot_time now);

/// Maximum number of requests that this router may have at the target at a time, by the target's
/// slots and connections; concurrency quotas are not considered.
std::uint32_t own_concurrency_limit(const routing_state& state, const target_state& target,
                                    const service& kind, boot_time now);

bool is_cold(const target_state& target, boot_time now);

/// Whether a target is in a home region of a route.
bool is_in_home_region(const routing_state& state, const target_entry& target,
                       const route& request_route);

/// Whether any route may send requests to the target.
bool is_used_by_any_route(const routing_state& state, const target_entry& target);

/// Whether new requests may be sent to the target: it is not leaving, and its failure domain is not
/// evacuated.
bool can_send_to(const routing_state& state, const target_state& target, boot_time now);

}  // namespace mimosavalve::gateway
