#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "mimosavalve/gateway/config_update.hpp"
#include "mimosavalve/gateway/crash_watch.hpp"
#include "mimosavalve/gateway/key_map.hpp"
#include "mimosavalve/gateway/state_update.hpp"

namespace mimosavalve::gateway::detail {

// Parts that several messages of routers and records of the store have in common. The names in them
// must not change, also where the code has other names for the same values. The functions that
// read them throw `json::exception` for a value of another shape.

using nlohmann::json;

std::string to_bytes(const json& value);
/// Value of a message; a discarded one if the bytes are no message.
json from_bytes(std::string_view bytes);

json segments_to_json(const std::vector<key_segment>& segments);
std::vector<key_segment> segments_from_json(const json& value);

json registry_to_json(const registry_update& update);
registry_update registry_from_json(const json& value);

json config_to_json(const config_update& update);
config_update config_from_json(const json& value);

/// Times of losses are sent as ages.
json crashes_to_json(const crash_report& report, boot_time now);
crash_report crashes_from_json(const json& body, boot_time now);
json confirmed_crashes_to_json(const crash_findings& findings, boot_time now);
std::vector<confirmed_crash> confirmed_crashes_from_json(const json& body, boot_time now);

}  // namespace mimosavalve::gateway::detail
