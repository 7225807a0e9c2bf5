#include "mimosavalve/config/fleet_config_codec.hpp"

#include <algorithm>
#include <array>

#include "fleet.pb.h"
#include "mimosavalve/config/fleet_config_check.hpp"
#include "mimosavalve/core/error.hpp"

namespace mimosavalve::config {

namespace detail {

constexpr std::array<std::string_view, 3> priority_names{"status", "order", "upload"};

void to_wire(const fleet_config& from, wire::FleetConfig& to) {
    to.set_version(from.version);
    to.set_shards_per_region(from.shards_per_region);
    for (const auto& region : from.regions) {
        auto& out = *to.add_regions();
        out.set_name(region.name);
        out.mutable_failure_domains()->Add(region.failure_domains.begin(),
                                           region.failure_domains.end());
    }
    for (const auto& service : from.services) {
        auto& out = *to.add_services();
        out.set_name(service.name);
        out.set_keyed(service.keyed);
        out.set_slots_per_region(service.slots_per_region);
        out.set_checks_fence(service.checks_fence);
    }
    for (const auto& route : from.routes) {
        auto& out = *to.add_routes();
        out.set_name(route.name);
        out.set_service(route.service);
        out.set_priority(static_cast<std::uint32_t>(route.priority));
        out.set_non_idempotent(route.non_idempotent);
        out.set_timeout_ms(static_cast<std::uint64_t>(route.timeout.count()));
        out.set_max_body_bytes(route.max_body_bytes);
    }
    for (const auto& account : from.accounts) {
        auto& out = *to.add_accounts();
        out.set_name(account.name);
        out.mutable_home_regions()->Add(account.home_regions.begin(), account.home_regions.end());
        out.set_requests_per_second(account.requests_per_second);
        out.set_home_moving(account.home_moving);
    }
}

void history_to_wire(const fleet_config& from, wire::FleetConfig& to) {
    to.mutable_removed_domains()->Add(from.removed_domains.begin(), from.removed_domains.end());
    to.mutable_drained_targets()->Add(from.drained_targets.begin(), from.drained_targets.end());
    for (const auto& each : from.rulings) {
        auto& out = *to.add_rulings();
        out.set_scope(each.scope);
        out.set_upheld(each.upheld);
        out.set_since_version(each.since_version);
    }
    for (const auto& each : from.applied) {
        auto& out = *to.add_applied();
        out.set_id(each.id);
        out.set_text(each.text);
        out.set_scope(each.scope);
        out.set_version(each.version);
    }
}

std::vector<std::string> strings(const google::protobuf::RepeatedPtrField<std::string>& from) {
    return {from.begin(), from.end()};
}

fleet_config from_wire(const wire::FleetConfig& from) {
    fleet_config to;
    to.version = from.version();
    to.shards_per_region = from.shards_per_region();
    for (const auto& region : from.regions()) {
        to.regions.push_back({region.name(), strings(region.failure_domains())});
    }
    for (const auto& service : from.services()) {
        to.services.push_back(
            {service.name(), service.keyed(), service.slots_per_region(), service.checks_fence()});
    }
    for (const auto& route : from.routes()) {
        to.routes.push_back({route.name(), route.service(),
                             static_cast<traffic_class>(route.priority()), route.non_idempotent(),
                             std::chrono::milliseconds(route.timeout_ms()),
                             route.max_body_bytes()});
    }
    for (const auto& account : from.accounts()) {
        to.accounts.push_back({account.name(), strings(account.home_regions()),
                               account.requests_per_second(), account.home_moving()});
    }
    to.removed_domains = strings(from.removed_domains());
    to.drained_targets = strings(from.drained_targets());
    for (const auto& each : from.rulings()) {
        to.rulings.push_back({each.scope(), each.upheld(), each.since_version()});
    }
    for (const auto& each : from.applied()) {
        to.applied.push_back({each.id(), each.text(), each.scope(), each.version()});
    }
    return to;
}

bool has_known_priorities(const wire::FleetConfig& message) {
    return std::all_of(message.routes().begin(), message.routes().end(),
                       [](const auto& route) { return route.priority() < priority_names.size(); });
}

}  // namespace detail

std::string encode(const fleet_config& config) {
    wire::FleetConfig message;
    detail::to_wire(config, message);
    detail::history_to_wire(config, message);
    return message.SerializeAsString();
}

std::optional<fleet_config> decode_fleet_config(std::string_view bytes, std::error_code& error) {
    wire::FleetConfig message;
    if (message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) &&
        detail::has_known_priorities(message)) {
        auto config = detail::from_wire(message);
        if (inconsistencies_of(config).empty()) {
            error.clear();
            return config;
        }
    }
    error = errc::malformed_message;
    return std::nullopt;
}

std::string_view to_string(traffic_class priority) {
    return detail::priority_names.at(static_cast<std::size_t>(priority));
}

std::optional<traffic_class> traffic_class_of(std::string_view name) {
    const auto found =
        std::find(detail::priority_names.begin(), detail::priority_names.end(), name);
    if (found == detail::priority_names.end()) {
        return std::nullopt;
    }
    return static_cast<traffic_class>(found - detail::priority_names.begin());
}

}  // namespace mimosavalve::config
