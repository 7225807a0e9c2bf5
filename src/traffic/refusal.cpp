#include "mimosavalve/traffic/refusal.hpp"

#include <array>

namespace mimosavalve::traffic {

namespace detail {

struct reason_entry {
    refusal_reason reason;
    std::string_view text;
    unsigned status;
};

constexpr std::array reasons{
    reason_entry{refusal_reason::bad_request, "bad-request", 400},
    reason_entry{refusal_reason::header_too_large, "header-too-large", 431},
    reason_entry{refusal_reason::header_timeout, "header-timeout", 408},
    reason_entry{refusal_reason::body_too_large, "body-too-large", 413},
    reason_entry{refusal_reason::unknown_route, "unknown-route", 404},
    reason_entry{refusal_reason::unknown_account, "unknown-account", 404},
    reason_entry{refusal_reason::no_home_region, "no-home-region", 403},
    reason_entry{refusal_reason::wrong_region, "wrong-region", 421},
    reason_entry{refusal_reason::no_owner, "no-owner", 503},
    reason_entry{refusal_reason::no_serving_lease, "no-serving-lease", 503},
    reason_entry{refusal_reason::no_target, "no-target", 503},
    reason_entry{refusal_reason::handover, "handover", 503},
    reason_entry{refusal_reason::config_behind, "config-behind", 503},
    reason_entry{refusal_reason::home_moving, "home-moving", 503},
    reason_entry{refusal_reason::missing_idempotency_key, "missing-idempotency-key", 400},
    reason_entry{refusal_reason::duplicate, "duplicate", 409},
    reason_entry{refusal_reason::too_old, "too-old", 409},
    reason_entry{refusal_reason::claim_unavailable, "claim-unavailable", 503},
    reason_entry{refusal_reason::quarantined, "quarantined", 503},
    reason_entry{refusal_reason::account_limit, "account-limit", 429},
    reason_entry{refusal_reason::overloaded, "overloaded", 503},
    reason_entry{refusal_reason::deadline, "deadline", 504},
    reason_entry{refusal_reason::target_unreachable, "target-unreachable", 503},
    reason_entry{refusal_reason::target_refused, "target-refused", 503},
    reason_entry{refusal_reason::connection_lost, "connection-lost", 502},
    reason_entry{refusal_reason::truncated_answer, "truncated-answer", 502},
    reason_entry{refusal_reason::bad_answer, "bad-answer", 502},
    reason_entry{refusal_reason::wrong_request_id, "wrong-request-id", 502},
    reason_entry{refusal_reason::stopping, "stopping", 503},
};

constexpr bool is_in_enum_order() {
    for (std::size_t index = 0; index < reasons.size(); ++index) {
        if (static_cast<std::size_t>(reasons[index].reason) != index) {
            return false;
        }
    }
    return reasons.back().reason == refusal_reason::stopping;
}
static_assert(is_in_enum_order(), "reasons are indexed by the enum value");

}  // namespace detail

std::string_view to_string(refusal_reason reason) {
    return detail::reasons.at(static_cast<std::size_t>(reason)).text;
}

unsigned http_status(refusal_reason reason) {
    return detail::reasons.at(static_cast<std::size_t>(reason)).status;
}

traffic_verdict verdict_before_send(refusal_reason reason) {
    const bool first_attempt_may_have_run =
        reason == refusal_reason::duplicate || reason == refusal_reason::too_old;
    return first_attempt_may_have_run ? traffic_verdict::may_have_run : traffic_verdict::not_run;
}

}  // namespace mimosavalve::traffic
