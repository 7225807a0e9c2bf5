#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "mimosavalve/command/command.hpp"
#include "mimosavalve/config/fleet_config.hpp"

namespace mimosavalve::command {

/// Accepted commands that a configuration remembers. At 6,900 changes a day these are the commands
/// of 3.5 hours, which is longer than the longest store outage that operators repeat across.
constexpr std::size_t most_applied_commands = 1024;

/// Bytes of their texts, scopes and identities. Without this bound, commands of the greatest length
/// would take four times the largest value of the store.
constexpr std::size_t most_applied_bytes = 256'000;

/// A change with its identity.
struct change_request {
    change what;
    std::string id;                         ///< A name; must not be empty.
    std::optional<std::uint64_t> based_on;  ///< Absent: the version it is decided against.

    bool operator==(const change_request&) const = default;
};

enum class refusal_reason {
    conflict,         ///< Another command on the scope was accepted after the base.
    ruling,           ///< A ruling on the scope is newer than the base.
    identity_reused,  ///< The identity belongs to another command.
    unknown_base,     ///< The base is newer than the configuration.
    expired_base,     ///< The base is older than the commands that are remembered.
    unknown_name,     ///< The command names something that does not exist.
    impossible,       ///< The configuration would not be consistent.
};

/// "conflict", "ruling", "identity-reused", ...
std::string_view to_string(refusal_reason reason);

/// Why a change was not made. The command that won is named when there is one.
struct refusal {
    refusal_reason reason = refusal_reason::impossible;
    std::string detail;
    std::uint64_t version = 0;  ///< Version that the winning command made, or 0.
    std::string command_id;
    std::string command_text;

    bool operator==(const refusal&) const = default;
};

std::string to_string(const refusal& why);

struct accepted_change {
    config::fleet_config next;

    bool operator==(const accepted_change&) const = default;
};

/// The identity has had its effect before.
struct repeated_change {
    std::uint64_t version = 0;  ///< Version that the first effect made.

    bool operator==(const repeated_change&) const = default;
};

using change_decision = std::variant<accepted_change, repeated_change, refusal>;

/// Decides a change against a configuration. It depends on nothing else, so that any router gets
/// the same result when a compare-and-swap has to be repeated.
change_decision decide(const config::fleet_config& current, const change_request& request);

}  // namespace mimosavalve::command
