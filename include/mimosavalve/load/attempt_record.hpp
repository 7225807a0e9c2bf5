#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mimosavalve::load {

/// One attempt of a request as its caller saw it: one line of the load history. Times are
/// nanoseconds of the machine's monotonic clock.
struct attempt_record {
    std::int64_t start_ns = 0;
    std::int64_t end_ns = 0;
    std::string request_id;  ///< "<id>.<attempt>"
    std::uint32_t attempt = 1;
    std::string router;
    std::string method;
    std::string path;
    std::string account;
    std::string idempotency_key;
    unsigned status = 0;      ///< 0: no whole answer.
    std::string verdict;      ///< "not-run", "may-have-run", "ran", or empty.
    std::string reason;       ///< `Mimosavalve-Reason` of a refusal.
    std::string error;        ///< "connect", "broken", "timeout", or empty.
    std::string answered_id;  ///< `Request-Id` of the answer.
    std::string expected_hash;
    std::uint64_t expected_size = 0;
    std::string received_hash;
    std::uint64_t received_size = 0;
    bool body_matches = true;  ///< False when the body of a 2xx answer is not that of the request.

    bool operator==(const attempt_record&) const = default;
};

/// Whether the answer says that the request was served.
bool is_good(const attempt_record& record);

/// Whether a failure speaks of the availability of the key and not of the request itself.
bool shows_outage(const attempt_record& record);

/// One line of JSON without its end.
std::string to_json(const attempt_record& record);

/// Reverse of `to_json`; nothing when the line is not a whole record.
std::optional<attempt_record> parse_attempt(std::string_view line);

}  // namespace mimosavalve::load
