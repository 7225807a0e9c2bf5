#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "mimosavalve/ports/host_list.hpp"

namespace mimosavalve::adapters {

/// JSON array of objects with the fields of `listed_host`.
std::string encode_hosts(std::span<const ports::listed_host> hosts);

/// Reverse of `encode_hosts`. Empty unless every entry is valid: known role, an address of
/// "ip:port", at least one slot and connection, and no id twice. Missing fields have their default,
/// but for id, role and address. Fields of other names are ignored, since the platform may add
/// some.
std::optional<std::vector<ports::listed_host>> decode_hosts(std::string_view json);

/// One JSON object as in `decode_hosts`.
std::optional<ports::listed_host> decode_host(std::string_view json);

}  // namespace mimosavalve::adapters
