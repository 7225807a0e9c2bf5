#include "answer_meaning.hpp"

#include "exchange_detail.hpp"

namespace mimosavalve::gateway {

bool promises_not_run(unsigned status) {
    return status == detail::status_request_timeout || status == detail::status_misdirected ||
           status == detail::status_too_many_requests || status == detail::status_unavailable;
}

answer_meaning meaning_of(const message_head& answer, const header_names& names,
                          std::string_view sent_to) {
    if (has_field(answer, names.not_run)) {
        return answer_meaning::refusal;
    }
    if (!promises_not_run(answer.status)) {
        return answer_meaning::result;
    }
    // Another target that has the address now runs nothing that is meant for its predecessor.
    const auto answered_by = field_of(answer, names.target_id);
    const bool is_by_other = !answered_by.empty() && !sent_to.empty() && answered_by != sent_to;
    return answer.status == detail::status_misdirected && is_by_other
               ? answer_meaning::refusal
               : answer_meaning::unproven_refusal;
}

}  // namespace mimosavalve::gateway
