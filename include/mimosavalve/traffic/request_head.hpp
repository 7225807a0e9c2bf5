#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace mimosavalve::traffic {

/// What the routing decision needs of a request. All views point into the caller's header.
struct request_head {
    std::string_view method;
    std::string_view route;            ///< First segment of the path.
    std::string_view account;          ///< Second segment: the account that the key belongs to.
    std::string_view id;               ///< Rest of the path, without the query.
    std::string_view calling_account;  ///< `Client-Account`, else `account`.
    std::string_view idempotency_key;
    std::optional<std::uint64_t> idempotency_time_ms;  ///< Unix time of the first attempt.
};

/// Splits "/<route>/<account>/<id...>?<query>" into the head. False when it is not of this form.
/// Only the normal form of a path is taken (no "." or ".." or empty segments, no needless or
/// lower-case percent escapes), since two spellings of one key would have two owners.
bool split_path(std::string_view path, request_head& head);

/// Whether a `Request-Id` may be passed on: 1 to 64 letters, digits, '-', '_' or '.'.
bool is_valid_request_id(std::string_view id);

/// Whether an `Idempotency-Key` may be used: 1 to 128 visible ASCII characters.
bool is_valid_idempotency_key(std::string_view key);

/// Decimal number without sign; nothing when it is not one or does not fit.
std::optional<std::uint64_t> parse_number(std::string_view text);

}  // namespace mimosavalve::traffic
