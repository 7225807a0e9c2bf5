#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "mimosavalve/config/fleet_config.hpp"
#include "mimosavalve/config/settings_fault.hpp"

namespace mimosavalve::config {

/// Store key of the fleet configuration.
constexpr std::string_view config_store_key = "config";

/// Serialises a configuration as the store keeps it (protobuf).
std::string encode(const fleet_config& config);

/// Reverse of `encode`; `errc::malformed_message` when the bytes are not a whole, consistent
/// configuration.
std::optional<fleet_config> decode_fleet_config(std::string_view bytes, std::error_code& error);

/// Reads the initial configuration, version 1, from YAML. Nothing is returned when there is any
/// fault; all faults are added.
std::optional<fleet_config> read_fleet_config(std::string_view yaml, std::string_view file,
                                              std::vector<settings_fault>& faults);

/// The same from a file.
std::optional<fleet_config> load_fleet_config(const std::string& path,
                                              std::vector<settings_fault>& faults);

/// "status", "order" or "upload".
std::string_view to_string(traffic_class priority);

/// Reverse of `to_string`.
std::optional<traffic_class> traffic_class_of(std::string_view name);

}  // namespace mimosavalve::config
