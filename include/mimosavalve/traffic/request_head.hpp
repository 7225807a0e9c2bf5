#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace mimosavalve::traffic {

/// The parts of a request that the routing decision needs. All views point into the header that was
/// read from the caller.
struct request_head {
    std::string_view method;
    std::string_view route;            ///< First segment of the path.
    std::string_view account;          ///< Second segment: the account that the key belongs to.
    std::string_view id;               ///< Rest of the path without the query: the key's own name.
    std::string_view calling_account;  ///< `Client-Account`; equal to `account` without the field.
    std::string_view idempotency_key;
    std::optional<std::uint64_t> idempotency_time_ms;  ///< Unix time of the first attempt.
};

/// Splits "/<route>/<account>/<id...>?<query>" into the head. False when it is not of this form.
/// Only the normal form of a path is accepted (no ".", ".." or empty segments, no percent escapes
/// that are unnecessary or in lower case), since two spellings of one key would have two owners.
bool split_path(std::string_view path, request_head& head);

/// Whether a `Request-Id` is valid: 1 to 64 letters, digits, '-', '_' or '.'.
bool is_valid_request_id(std::string_view id);

/// Whether an `Idempotency-Key` is valid: 1 to 128 visible ASCII characters.
bool is_valid_idempotency_key(std::string_view key);

/// Parses a decimal number without a sign; nothing when the text is not one or exceeds 64 bits.
std::optional<std::uint64_t> parse_number(std::string_view text);

}  // namespace mimosavalve::traffic
