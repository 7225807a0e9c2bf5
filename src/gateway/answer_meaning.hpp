#pragma once

#include <string_view>

#include "mimosavalve/gateway/http_message.hpp"
#include "mimosavalve/gateway/platform_port.hpp"

namespace mimosavalve::gateway {

/// What the head of a target's answer says about the request.
enum class answer_meaning {
    result,            ///< The request was run, and the answer is for the caller.
    refusal,           ///< The target states that it has not run the request.
    unproven_refusal,  ///< The status means "not run" to callers, but the target does not state it.
};

/// Whether a status tells a caller that its request has not run and never will: 408, 421, 429 and
/// 503.
bool promises_not_run(unsigned status);

/// `sent_to`: id of the target that the request was sent to; empty if a dispatcher chose it.
answer_meaning meaning_of(const message_head& answer, const header_names& names,
                          std::string_view sent_to);

}  // namespace mimosavalve::gateway
