#pragma once

#include <cstdint>
#include <span>
#include <string>

namespace mimosavalve::config {

enum class fault_kind {
    unreadable_file,
    syntax,
    unknown_field,
    repeated_field,
    missing_field,
    wrong_type,
    impossible_value,
};

/// One fault of a settings file, with all that is needed to correct it.
struct settings_fault {
    fault_kind kind = fault_kind::syntax;
    std::string file;
    std::uint32_t line = 0;  ///< Counted from 1; 0 when the fault has no line.
    std::string field;       ///< Path, for instance "timing.heartbeat_ms" or "routes[1].service".
    std::string value;       ///< As written; "(list)" or "(mapping)" for these.
    std::string allowed;

    bool operator==(const settings_fault&) const = default;
};

/// "router.yaml:3: field traffic_threads: impossible value '0'; allowed: an integer from 1 to 256".
std::string to_string(const settings_fault& fault);

/// One line for each fault.
std::string to_string(std::span<const settings_fault> faults);

}  // namespace mimosavalve::config
