#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "mimosavalve/config/fleet_config.hpp"

namespace mimosavalve::command {

// Queries.

struct show_key_owner {
    std::string route;
    std::string account;
    std::string id;

    bool operator==(const show_key_owner&) const = default;
};

struct show_slot_owner {
    std::string service;
    std::string region;
    std::uint32_t slot = 0;

    bool operator==(const show_slot_owner&) const = default;
};

struct show_target_slots {
    std::string target;

    bool operator==(const show_target_slots&) const = default;
};

struct show_account {
    std::string account;

    bool operator==(const show_account&) const = default;
};

enum class config_field {
    all,
    regions,
    services,
    routes,
    accounts,
    domains,
    drains,
    commands,
};

struct show_config {
    config_field field = config_field::all;

    bool operator==(const show_config&) const = default;
};

enum class overview {
    in_force,
    targets,
    routers,
    rulings,
    status,
};

struct show_overview {
    overview what = overview::status;

    bool operator==(const show_overview&) const = default;
};

enum class subject_kind {
    key,
    target,
    request,
    account,
};

/// Start of a span of time: an absolute time, or a length back from now.
struct since_time {
    std::uint64_t unix_ms = 0;  ///< Used when `ago` is zero.
    std::chrono::milliseconds ago{0};

    bool operator==(const since_time&) const = default;
};

struct explain {
    subject_kind kind = subject_kind::key;
    std::string name;
    std::optional<since_time> since;

    bool operator==(const explain&) const = default;
};

struct wait_version {
    std::uint64_t version = 0;
    std::chrono::milliseconds within{10'000};

    bool operator==(const wait_version&) const = default;
};

using query = std::variant<show_key_owner, show_slot_owner, show_target_slots, show_account,
                           show_config, show_overview, explain, wait_version>;

// Changes. An absent field keeps its value, or gets the default of a new item.

struct set_route {
    std::string name;
    std::optional<std::string> service;
    std::optional<config::traffic_class> priority;
    std::optional<bool> non_idempotent;
    std::optional<std::chrono::milliseconds> timeout;
    std::optional<std::uint64_t> max_body_bytes;

    bool operator==(const set_route&) const = default;
};

struct set_service {
    std::string name;
    std::optional<bool> keyed;
    std::optional<std::uint32_t> slots_per_region;
    std::optional<bool> checks_fence;

    bool operator==(const set_service&) const = default;
};

struct set_account {
    std::string name;
    std::optional<std::vector<std::string>> home_regions;  ///< Empty list: any region.
    std::optional<double> requests_per_second;             ///< 0: not limited.

    bool operator==(const set_account&) const = default;
};

/// Second step of a change of home regions.
struct activate_account {
    std::string name;

    bool operator==(const activate_account&) const = default;
};

struct remove_route {
    std::string name;

    bool operator==(const remove_route&) const = default;
};

struct remove_account {
    std::string name;

    bool operator==(const remove_account&) const = default;
};

struct drain_target {
    std::string target;

    bool operator==(const drain_target&) const = default;
};

struct undrain_target {
    std::string target;

    bool operator==(const undrain_target&) const = default;
};

struct remove_domain {
    std::string domain;

    bool operator==(const remove_domain&) const = default;
};

struct return_domain {
    std::string domain;

    bool operator==(const return_domain&) const = default;
};

/// A decision on the commands of a scope.
struct rule_scope {
    std::string scope;
    std::string upheld;

    bool operator==(const rule_scope&) const = default;
};

using change = std::variant<set_route, set_service, set_account, activate_account, remove_route,
                            remove_account, drain_target, undrain_target, remove_domain,
                            return_domain, rule_scope>;

/// A change with its options.
struct change_command {
    change what;
    std::string id;                         ///< Identity for repeats; empty: none was given.
    std::optional<std::uint64_t> based_on;  ///< Version that the operator has seen.
    bool dry_run = false;

    bool operator==(const change_command&) const = default;
};

using command = std::variant<query, change_command>;

/// The change in the command language, without options and in one fixed form, so that equal changes
/// have equal texts.
std::string to_string(const change& what);

}  // namespace mimosavalve::command
