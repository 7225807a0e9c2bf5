#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "mimosavalve/gateway/clock.hpp"
#include "mimosavalve/gateway/route_config.hpp"

namespace mimosavalve::gateway {

// Requests for a service without keys that leave the failure domain of their router. They handle
// the load of a domain whose own targets are too few, while traffic between domains is slower and
// billed: the leader computes how much has to leave, and a router decides whether leaving pays for
// a request. Without the leader's shares, all routers would send to the same free target at once.

/// Requests of the routers of one failure domain for a service.
struct domain_demand {
    std::vector<std::string> home_regions;  ///< Regions to which they are bound; empty: any.
    double per_second = 0;
};

/// A failure domain with targets of a service, or with routers that send requests for it.
struct overflow_domain {
    std::string name;
    std::string region;
    double capacity = 0;  ///< Requests per second that the usable targets there run.
    std::vector<domain_demand> demands;
};

/// Fraction of its requests for a service that the routers of a domain may send to each other
/// domain; by the domain of the routers, then by that of the targets.
using overflow_shares = std::map<std::string, std::map<std::string, double>>;

/// Leader: shares of one service. A domain sends away what exceeds 0.75 of its capacity, first
/// within its region. If a whole region exceeds that, its domains are filled equally, and its
/// excess goes to other regions until these are at 0.75, or at the utilization of the whole fleet
/// if that is higher. Requests whose home regions have no targets in the own region are not part of
/// the shares: they leave in any case.
overflow_shares plan_overflow(std::span<const overflow_domain> domains);

/// Whether a request stays with the targets of its own region, as far as its domain's shares allow.
bool is_domestic(std::span<const overflow_domain> domains, const overflow_domain& from,
                 const domain_demand& demand);

/// Share of the requests of routers in `from` that go to targets in `to`, those that stay included.
double share_between(const overflow_shares& shares, const std::string& from, const std::string& to);

/// Shares of one domain by service. A service without shares is in the map if the shares are known.
using overflow_by_service = std::map<std::string, std::map<std::string, double>>;

/// Whether the shares differ so much that they are announced again.
bool differ(const overflow_by_service& announced, const overflow_by_service& now);

/// Router: shares that the leader has announced, and the tokens earned from them.
struct overflow_table {
    struct bucket {
        double share = 0;
        double tokens = 0;
    };
    /// By service, then by domain.
    std::map<std::string, std::map<std::string, bucket, std::less<>>, std::less<>> by_service;
    boot_time valid_until;  ///< Without news from a leader.
};

/// Time for which a router uses shares without news from a leader: longer than a change of the
/// leader. From then on its requests stay in its domain while that has usable targets.
inline constexpr milliseconds overflow_validity{5000};

/// Replaces the shares; tokens of domains that keep a share stay.
void apply_overflow(overflow_table& table, const overflow_by_service& shares);
/// Whether the leader knows the demand for the service.
bool is_known(const overflow_table& table, std::string_view service);
/// Earns tokens for a request that this router sends itself; called once for each.
void earn_tokens(overflow_table& table, std::string_view service);
bool has_token(const overflow_table& table, std::string_view service, std::string_view domain,
               boot_time now);
void take_token(overflow_table& table, std::string_view service, std::string_view domain);

/// Mean sizes of the requests of a route and of their responses.
struct transfer_size {
    double request_bytes = 0;
    double response_bytes = 0;
    std::uint32_t samples = 0;  ///< At most the number over which the means are taken.
};

void record_transfer(transfer_size& size, std::uint64_t request_bytes,
                     std::uint64_t response_bytes);
/// Expected bytes of a request and its response. Uploads and downloads are taken for large until
/// their sizes are known, others for small.
double expected_bytes(const transfer_size* known, request_kind kind);
/// Whether so many bytes cross regions only if the own region has no room.
bool is_large_transfer(double bytes);

/// Where a target is, seen from a router.
enum class target_place { own_domain, own_region, other_region };

std::string_view to_string(target_place place);

/// Cost of a transfer, in ms: a round trip, and the time that the bytes occupy the link.
double transfer_cost_ms(target_place place, double bytes);

/// Why a request leaves its domain.
enum class leave_reason {
    none,          ///< It stays, or the decision is not in effect.
    late_at_home,  ///< It would be late in its domain, and is in time outside.
    saves_time,    ///< It would be late or wait in its domain, and the time saved exceeds the cost.
    home_lost,     ///< Its domain has no usable target.
};

std::string_view to_string(leave_reason reason);

struct leaving_request {
    double home_ms = 0;         ///< Expected time until the answer in the own domain.
    bool home_has_room = true;  ///< Whether a target in the own domain can be sent the request now.
    double away_ms = 0;         ///< Expected time at the target outside.
    target_place place = target_place::own_region;  ///< Of that target.
    double bytes = 0;                               ///< See `expected_bytes`.
    std::optional<double> left_ms;                  ///< Until the objective; nothing: it has none.
    bool region_has_room = false;  ///< Whether a target in the own region can be sent the request.
};

/// Whether leaving pays for a request that has a token; `none` if it does not.
leave_reason reason_to_leave(const leaving_request& request);

}  // namespace mimosavalve::gateway
