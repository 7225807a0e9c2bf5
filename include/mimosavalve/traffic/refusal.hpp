#pragma once

#include <string_view>

#include "mimosavalve/core/verdict.hpp"

namespace mimosavalve::traffic {

/// Why the router answers a request itself. The text form is the `Mimosavalve-Reason` header.
enum class refusal_reason {
    bad_request,              ///< The request is not valid HTTP/1.1, or its path is not a key.
    header_too_large,         ///< The header exceeds 16 KB.
    header_timeout,           ///< The header was not complete within 5 s.
    body_too_large,           ///< The body exceeds the maximum of its route.
    unknown_route,            ///< The first path segment names no route.
    unknown_account,          ///< The account of the path or the calling account is not known.
    no_home_region,           ///< No region can serve the request, or the region of the key is not
                              ///< permitted for the calling account.
    wrong_region,             ///< Another region serves the key; the detail names it.
    no_owner,                 ///< The slot of the key has no owner.
    no_serving_lease,         ///< This router holds no serving lease for the shard.
    no_target,                ///< No target can serve the request.
    handover,                 ///< The handover of the slot did not end within the deadline.
    config_behind,            ///< This router's configuration is older than that of the shard.
    home_moving,              ///< The account's home regions are changing.
    missing_idempotency_key,  ///< `Idempotency-Key` or `Idempotency-Time` is missing.
    duplicate,                ///< The idempotency key is known: its first attempt may have run.
    too_old,             ///< The first attempt is older than the shard's table of idempotency keys.
    claim_unavailable,   ///< The leader of the shard did not answer the claim.
    quarantined,         ///< Requests with this fingerprint have crashed targets.
    account_limit,       ///< The calling account exceeds its request rate.
    overloaded,          ///< The queue or the window of the target is full.
    deadline,            ///< The deadline of the request has passed.
    target_unreachable,  ///< No connection to the target could be opened.
    target_refused,      ///< The target answered `Not-Run: true`.
    connection_lost,     ///< The target's connection ended before an answer.
    truncated_answer,    ///< The target's connection ended within the answer.
    bad_answer,          ///< The target's answer was not valid HTTP/1.1 with a known length.
    wrong_request_id,    ///< The target's answer belongs to another request.
    stopping,            ///< This router is stopping.
};

/// Value of `Mimosavalve-Reason`, for instance "unknown-route".
std::string_view to_string(refusal_reason reason);

/// HTTP status of the router's own answer.
unsigned http_status(refusal_reason reason);

/// Verdict of a refusal before the request was sent. For `duplicate` and `too_old` it is
/// `may_have_run`, since an earlier attempt with the same key may have run.
traffic_verdict verdict_before_send(refusal_reason reason);

}  // namespace mimosavalve::traffic
