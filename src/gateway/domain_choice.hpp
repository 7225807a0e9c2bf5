#pragma once

#include <optional>
#include <span>
#include <string_view>

#include "mimosavalve/gateway/target_table.hpp"
#include "target_choice.hpp"

namespace mimosavalve::gateway {

/// What a router knows of the targets in its own domain that may run a request.
struct home_survey {
    bool is_usable = false;         ///< Whether there is any.
    target_state* cold = nullptr;   ///< The cold one with the fewest requests.
    std::optional<double> wait_ms;  ///< Least expected time at those that have no room now.
};

/// Whether requests for a service leave the router's domain only if that pays.
bool decides_by_domain(const routing_state& state, std::string_view service,
                       const home_survey& home);

/// Adds a target in the own domain that has no room now. `time_ms`: expected time there if the
/// request were sent now.
void add_full_target(home_survey& home, const target_state& target, double time_ms, double work_ms);

struct domain_pick {
    target_state* target = nullptr;  ///< Null: the request waits.
    leave_reason reason = leave_reason::none;
};

/// Chooses among the targets that may be sent the request now: one in the own domain, or one
/// outside if leaving pays and there is a token for its domain.
domain_pick pick_by_domain(const routing_state& state, const choice_request& request,
                           std::span<const detail::candidate> free, const home_survey& home,
                           boot_time now);

/// Place of a target, seen from this router.
target_place place_of(const routing_state& state, const target_state& target);

}  // namespace mimosavalve::gateway
