#pragma once

#include <string_view>

namespace mimosavalve::config {

/// What `is_name` and `is_endpoint` accept, for messages.
constexpr std::string_view name_rule =
    "1 to 64 letters, digits, '-', '_' or '.', not starting with '-' or '.'";
constexpr std::string_view endpoint_rule = "an IPv4 address and port, as in 127.0.0.1:8080";

/// Whether `text` can be a name of a region, host, route and the like: letters, digits, '-', '_'
/// and '.', at most 64, not starting with '-' or '.'. Such names fit into paths, store keys and the
/// command language, where a leading '-' would be read as an option.
bool is_name(std::string_view text);

/// Whether `text` is an IPv4 address with a port, as in "127.0.0.1:8080".
bool is_endpoint(std::string_view text);

}  // namespace mimosavalve::config
