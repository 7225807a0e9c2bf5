#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "http_front_end_body.hpp"
#include "mimosavalve/core/verdict.hpp"
#include "mimosavalve/traffic/refusal.hpp"
#include "mimosavalve/traffic/request_head.hpp"
#include "mimosavalve/traffic/routing_decision.hpp"

namespace mimosavalve::adapters::front_end {

inline std::string_view as_view(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

/// What the router adds to a request for the target.
struct forwarded_fields {
    std::string_view request_id;
    std::string_view calling_account;
    std::string_view service;
    version fence;                               ///< Sent with `slot` only.
    std::optional<ownership::slot_number> slot;  ///< Only for keyed services.
    std::optional<std::uint64_t> start_by_ms;
    std::uint64_t timeout_ms = 0;  ///< Time left until the deadline.
};

/// Writes the header for the target into `out`.
void write_request_header(std::string& out, const request_parser& request,
                          const forwarded_fields& fields);

/// Writes the header of a target's answer for the caller into `out`.
void write_answer_header(std::string& out, const response_parser& answer,
                         std::string_view request_id, traffic_verdict verdict, bool keep_alive);

/// An answer of the router itself.
struct own_answer {
    traffic::refusal_reason reason = traffic::refusal_reason::bad_request;
    traffic_verdict verdict = traffic_verdict::not_run;
    std::string_view request_id;
    std::string_view region;  ///< Region to ask instead, or empty.
    bool keep_alive = false;
    bool with_body = true;  ///< False for HEAD.
};

void write_own_answer(std::string& out, const own_answer& answer);

/// Whether the caller waits for 100 before it sends the body.
bool expects_continue(const request_parser& request);

/// Whether the target said that it did not run the request.
bool says_not_run(const response_parser& answer);

/// Appends a decimal number.
void append_number(std::string& out, std::uint64_t value);

}  // namespace mimosavalve::adapters::front_end
