#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "mimosavalve/gateway/clock.hpp"

namespace mimosavalve::gateway {

// Dispatchers of a service without keys. They handle the load of a service that has few slots for
// each router: if every router sent on its own, requests would queue at slow targets while slots of
// others are idle, since no router has enough requests to use its quota all the time. Instead the
// leader names two routers that send the requests of all others, and so keep one queue.

/// Name of the targets of a service in one region, as the destination of forwarded requests.
std::string region_destination(std::string_view service, std::string_view region);

/// A router that could be a dispatcher.
struct dispatch_candidate {
    std::string host;
    std::string address;  ///< At which it accepts forwarded requests.
    std::string region;
    double capacity = 1;   ///< Of its host, in cores.
    bool is_late = false;  ///< Whether its event loop has run late.
};

/// Dispatchers by destination.
using dispatcher_map = std::map<std::string, std::vector<dispatch_candidate>>;

/// A service in one region.
struct dispatch_input {
    std::string destination;
    std::string region;
    double slots = 0;                ///< Of its usable targets.
    double capacity = 0;             ///< Requests per second that these run.
    double demand = 0;               ///< Requests per second of all routers.
    std::size_t routers = 0;         ///< Routers that may send to it.
    bool has_small_requests = true;  ///< Whether any route sends it requests that are forwarded.
    /// A new leader does not know the demand and all routers yet: what is named stays.
    bool is_settling = false;
};

/// Leader: adds the dispatchers of one destination to `next`, or none if the service needs none. A
/// dispatcher of `current` stays while it qualifies. Those that are in `next` for few destinations
/// are preferred.
void plan_dispatchers(dispatcher_map& next, const dispatcher_map& current,
                      const dispatch_input& input, std::span<const dispatch_candidate> candidates);

/// A dispatcher as a router knows it.
struct dispatch_peer {
    std::string host;
    std::string address;
    boot_time avoid_until;  ///< Set after a failed connect.
};

/// Router: dispatchers that the leader has named.
struct dispatch_table {
    std::map<std::string, std::vector<dispatch_peer>, std::less<>> by_destination;
    boot_time valid_until;  ///< Without news from a leader.
    std::size_t turn = 0;   ///< Dispatchers take turns.
};

/// Time for which a router keeps dispatchers without news from a leader: longer than a change of
/// the leader, and shorter than the time after which a leader forgets a router (10 s).
inline constexpr milliseconds dispatch_validity{5000};

/// By destination: host and address of each dispatcher.
using dispatcher_names = std::map<std::string, std::vector<std::pair<std::string, std::string>>>;

dispatcher_names names_of(const dispatcher_map& dispatchers);

/// Replaces the dispatchers; those that stay are avoided as long as before.
void apply_dispatchers(dispatch_table& table, const dispatcher_names& named);

struct dispatch_request {
    std::string_view service;
    std::span<const std::string> home_regions;  ///< Empty: any.
    std::string_view own_region;
    std::string_view own_host;
    /// Whether the request must not be forwarded, but may be sent without a quota: a router other
    /// than the dispatchers has none.
    bool must_be_direct = false;
};

/// How a router sends a request.
enum class dispatch_kind {
    direct,                ///< No dispatcher is named, or this router is one.
    forward,               ///< To `peer`.
    direct_without_quota,  ///< No dispatcher can be reached; the routers have no quotas.
};

/// Dispatchers as a new leader takes them over from what it followed.
dispatcher_map taken_over(const dispatch_table& table);

struct dispatch_choice {
    dispatch_kind kind = dispatch_kind::direct;
    dispatch_peer* peer = nullptr;
};

dispatch_choice choose_dispatcher(dispatch_table& table, const dispatch_request& request,
                                  boot_time now);

/// Position of a router among the dispatchers of a destination.
struct dispatch_rank {
    std::uint32_t rank = 0;
    std::uint32_t dispatchers = 1;
};
std::optional<dispatch_rank> rank_of(const dispatch_table& table, std::string_view destination,
                                     std::string_view host);

/// Records that a connection to the dispatcher could not be opened.
void record_unreachable(dispatch_table& table, std::string_view host, boot_time now);

}  // namespace mimosavalve::gateway
