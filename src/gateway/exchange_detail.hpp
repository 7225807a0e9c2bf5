#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "mimosavalve/gateway/clock.hpp"

namespace mimosavalve::gateway::detail {

// For callers that name no deadline.
inline constexpr milliseconds default_timeout{30000};

inline constexpr unsigned status_ok = 200;
inline constexpr unsigned status_multiple_choices = 300;
inline constexpr unsigned status_bad_request = 400;
inline constexpr unsigned status_not_found = 404;
inline constexpr unsigned status_request_timeout = 408;
inline constexpr unsigned status_misdirected = 421;
inline constexpr unsigned status_too_many_requests = 429;
inline constexpr unsigned status_bad_gateway = 502;
inline constexpr unsigned status_unavailable = 503;
inline constexpr unsigned status_gateway_timeout = 504;

/// Fields of a forwarded request: the service that the first router has chosen, and the time in ms
/// since that router received the request.
inline constexpr std::string_view forwarded_service_field = "Mimosavalve-Service";
inline constexpr std::string_view forwarded_age_field = "Mimosavalve-Age";
/// Field of a dispatcher's answer: the target instance (`instance_name`) that has answered.
inline constexpr std::string_view answered_by_field = "Mimosavalve-Target";
/// Reason and verdict of a router's own answer.
inline constexpr std::string_view reason_field = "Mimosavalve-Reason";
inline constexpr std::string_view verdict_field = "Mimosavalve-Verdict";

bool equals_ignoring_case(std::string_view left, std::string_view right);

/// Decimal number of a header field; nothing if `text` is anything else.
std::optional<std::uint32_t> parse_number(std::string_view text);

}  // namespace mimosavalve::gateway::detail
