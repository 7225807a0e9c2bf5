#include "domain_choice.hpp"

#include <algorithm>
#include <vector>

namespace mimosavalve::gateway {

namespace detail {

// Expected bytes of the request and its response.
double bytes_of(const routing_state& state, const route& request_route) {
    const auto known = state.transfer_sizes.find(request_route.name);
    return expected_bytes(known == state.transfer_sizes.end() ? nullptr : &known->second,
                          request_route.kind);
}

std::optional<double> time_left_ms(const choice_request& request) {
    const auto objective = request.request_route->objective;
    return objective.count() > 0
               ? std::optional(static_cast<double>((objective - request.age).count()))
               : std::nullopt;
}

}  // namespace detail

target_place place_of(const routing_state& state, const target_state& target) {
    if (target.entry.failure_domain == state.own_domain) {
        return target_place::own_domain;
    }
    return region_of(state.regions, target.entry.failure_domain) == state.own_region
               ? target_place::own_region
               : target_place::other_region;
}

bool decides_by_domain(const routing_state& state, std::string_view service,
                       const home_survey& home) {
    return home.is_usable && is_known(state.overflow, service);
}

void add_full_target(home_survey& home, const target_state& target, double time_ms,
                     double work_ms) {
    // There is room when one of the router's own requests there has been answered.
    const auto wait_ms = time_ms + work_ms / std::max(target.running, 1U);
    home.wait_ms = std::min(home.wait_ms.value_or(wait_ms), wait_ms);
}

domain_pick pick_by_domain(const routing_state& state, const choice_request& request,
                           std::span<const detail::candidate> free, const home_survey& home,
                           boot_time now) {
    const auto bytes = detail::bytes_of(state, *request.request_route);
    std::vector<detail::candidate> at_home;
    std::vector<detail::candidate> away;
    bool region_has_room = false;
    for (const auto& each : free) {
        const auto place = place_of(state, *each.target);
        region_has_room = region_has_room || place != target_place::other_region;
        const auto cost = transfer_cost_ms(place, bytes);
        const detail::candidate priced{each.target, cost, each.total_ms - each.transfer_ms + cost};
        if (place == target_place::own_domain) {
            at_home.push_back(priced);
        } else if (has_token(state.overflow, request.service, each.target->entry.failure_domain,
                             now)) {
            away.push_back(priced);
        }
    }
    // One large body delays all other traffic between the regions.
    const bool stays_in_region = request.request_route->kind == request_kind::upload ||
                                 (is_large_transfer(bytes) && region_has_room);
    if (stays_in_region) {
        std::erase_if(away, [&](const auto& each) {
            return place_of(state, *each.target) == target_place::other_region;
        });
    }
    auto* own = detail::pick_candidate(at_home);
    auto* other = detail::pick_candidate(away);
    const auto find = [](std::span<const detail::candidate> in, const target_state* target) {
        return *std::find_if(in.begin(), in.end(),
                             [&](const auto& each) { return each.target == target; });
    };
    if (other != nullptr && (own != nullptr || home.wait_ms)) {
        const auto priced = find(away, other);
        leaving_request leaving;
        leaving.home_has_room = own != nullptr;
        leaving.home_ms = own != nullptr ? find(at_home, own).total_ms : *home.wait_ms;
        leaving.away_ms = priced.total_ms - priced.transfer_ms;
        leaving.place = place_of(state, *other);
        leaving.bytes = bytes;
        leaving.left_ms = detail::time_left_ms(request);
        leaving.region_has_room = region_has_room;
        if (const auto reason = reason_to_leave(leaving); reason != leave_reason::none) {
            return {other, reason};
        }
    }
    return {own, leave_reason::none};
}

}  // namespace mimosavalve::gateway
