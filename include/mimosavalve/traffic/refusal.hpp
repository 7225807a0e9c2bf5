#pragma once

#include <string_view>

#include "mimosavalve/core/verdict.hpp"

namespace mimosavalve::traffic {

/// Why the router answers a request itself. The text form is the `Mimosavalve-Reason` header.
enum class refusal_reason {
    bad_request,              ///< The request is not valid HTTP/1.1, or its path is not a key.
    header_too_large,         ///< The header exceeds 16 KB.
    header_timeout,           ///< The header was not complete within 5 s.
    body_too_large,           ///< The body exceeds the bound of its route.
    unknown_route,            ///< The first path segment names no route.
    unknown_account,          ///< The account of the path or the calling account is not known.
    no_home_region,           ///< The calling account may not reach the region of the key.
    wrong_region,             ///< Another region serves the key; the detail names it.
    no_owner,                 ///< The slot of the key has no owner.
    no_serving_lease,         ///< This router may not send for the shard now.
    no_target,                ///< No target may take the request.
    handover,                 ///< The slot did not reach its new owner within the deadline.
    config_behind,            ///< This router holds an older configuration than the shard.
    home_moving,              ///< The account's home regions are changing.
    missing_idempotency_key,  ///< `Idempotency-Key` or `Idempotency-Time` is missing.
    duplicate,                ///< The idempotency key is known: its first attempt may have run.
    too_old,                  ///< First issued before the shard's table of keys began.
    claim_unavailable,        ///< The leader of the shard did not answer the claim.
    quarantined,              ///< Requests with this fingerprint crashed targets.
    account_limit,            ///< The account exceeds its rate.
    overloaded,               ///< Queue or window of the target is full.
    deadline,                 ///< The deadline of the request has passed.
    target_unreachable,       ///< No connection to the target could be opened.
    target_refused,           ///< The target answered `Not-Run: true`.
    connection_lost,          ///< The target's connection ended before an answer.
    truncated_answer,         ///< The target's connection ended within the answer.
    bad_answer,               ///< The target's answer was not valid HTTP/1.1 with a known length.
    wrong_request_id,         ///< The target's answer belongs to another request.
    stopping,                 ///< This router is stopping.
};

/// Value of `Mimosavalve-Reason`, for instance "unknown-route".
std::string_view to_string(refusal_reason reason);

/// HTTP status of the router's own answer.
unsigned http_status(refusal_reason reason);

/// Verdict of a refusal that is given before the request was sent. `duplicate` and `too_old` speak
/// of the first attempt with the key, so they are `may_have_run`.
traffic_verdict verdict_before_send(refusal_reason reason);

}  // namespace mimosavalve::traffic
