#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mimosavalve::adapters {

/// Path and query of an HTTP request, still percent-encoded. Views into the request.
struct request_target {
    std::string_view path;
    std::string_view query;  ///< Without the "?".
};

request_target split_target(std::string_view target);

/// Value of a query parameter as an unsigned decimal number; empty when missing or no number.
std::optional<std::uint64_t> query_number(std::string_view query, std::string_view name);

/// Whole text as an unsigned decimal number.
std::optional<std::uint64_t> parse_number(std::string_view text);

/// Encodes all bytes but unreserved characters and "/".
std::string percent_encode(std::string_view text);

/// Empty when an escape is incomplete or no hexadecimal number.
std::optional<std::string> percent_decode(std::string_view text);

}  // namespace mimosavalve::adapters
