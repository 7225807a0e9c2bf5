// Requests that a target has refused or whose answer was lost: another send, or the final answer.

#include <utility>

#include "answer_meaning.hpp"
#include "exchange.hpp"
#include "exchange_detail.hpp"
#include "mimosavalve/core/error.hpp"

namespace mimosavalve::gateway {

namespace detail {

constexpr std::uint32_t max_connects = 3;
// The same for connects that are refused at once: several targets may have crashed a moment ago,
// and asking the next one costs no time.
constexpr std::uint32_t max_refused_connects = 10;
// Maximum number of sends that reach a target, including those refused without being run.
constexpr std::uint32_t max_sends = 4;
// Minimum time until the deadline for another send to be tried.
constexpr std::int64_t min_remaining_ms = 10;

}  // namespace detail

bool exchange::try_acquire_attempt(bool reached_target) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(answer_deadline_ - steady::now()).count();
    if (left < detail::min_remaining_ms || !is_body_replayable_ || core_.stopping) {
        return false;
    }
    if (!reached_target && std::exchange(was_connect_refused_, false)) {
        return ++refused_connects_ < detail::max_refused_connects;
    }
    if (!reached_target) {
        return ++connect_failures_ < detail::max_connects;
    }
    return attempts_ < detail::max_sends &&
           try_acquire_retry(core_.retry_budgets[service_], core_.settings.bounds,
                             core_.state.router_count, boot_clock::now());
}

bool exchange::end_if_refused() {
    const auto meaning = meaning_of(answer_, core_.platform.headers,
                                    dispatcher_.empty() ? target_id_ : std::string_view());
    // Repeating an idempotent request does no harm, and 421 tells where its key is not.
    const bool may_repeat =
        answer_.status == detail::status_misdirected && is_idempotent(route_->kind);
    if (meaning == answer_meaning::result) {
        return false;
    }
    if (meaning == answer_meaning::refusal || may_repeat) {
        if (meaning != answer_meaning::refusal) {
            earlier_sends_verdict_ = traffic_verdict::may_have_run;
        }
        verdict_ = earlier_sends_verdict_;
        on_refusal();
    } else {
        on_unproven_refusal();
    }
    return true;
}

void exchange::on_refusal() {
    const auto failed_target_id = target_id_;
    const auto status = answer_.status;
    const bool is_misdirected = status == detail::status_misdirected;
    const auto load = core_.platform.decode_load(field_of(answer_, core_.platform.headers.load));
    // A target with a fault that affects only some requests refuses those although it has room.
    const bool refused_with_room = load && load->running < load->slots && load->waiting == 0;
    if (is_misdirected) {
        record_contradiction();
    }
    detach_from_target();
    count(core_.metrics, is_misdirected ? "target_misdirected" : "target_refused");
    core_.log.write("target_refused", {{"request", id_},
                                       {"target", failed_target_id},
                                       {"status", std::int64_t{status}},
                                       {"age_ms", age_ms()},
                                       {"sends", std::int64_t{attempts_}}});
    const bool is_request_keyed = is_keyed();
    if (is_request_keyed && !is_misdirected && !refused_with_room) {
        // Only the owner can run the request, and it has no room.
        give_up("owner-full", estimate_wait());
        return;
    }
    if (!try_acquire_attempt(true)) {
        give_up("refused-by-target");
        return;
    }
    if (is_request_keyed) {
        tried_targets_.clear();
    }
    dispatch();
}

void exchange::on_connection_lost(std::error_code error) {
    const auto failed_target_id = target_id_;
    const bool has_sent = link_ != nullptr && link_->has_sent();
    if (auto* target = current_target(); target != nullptr) {
        record_failure(*target, has_sent, boot_clock::now());
    }
    const bool was_forwarded = !dispatcher_.empty();
    if (was_forwarded) {
        avoid_dispatcher(std::string(dispatcher_));
    }
    if (const auto request_fingerprint =
            has_sent && !was_forwarded ? fingerprint() : std::nullopt) {
        record_lost_connection(core_.crashes, instance_name(failed_target_id, target_instance_),
                               *request_fingerprint, boot_clock::now());
    }
    detach_from_target();
    count(core_.metrics, has_sent ? "target_connection_lost" : "target_unreachable");
    core_.log.write("target_lost", {{"request", id_},
                                    {"target", failed_target_id},
                                    {"error", std::string_view(error.message())},
                                    {"sent", std::int64_t{has_sent}},
                                    {"age_ms", age_ms()}});
    if (is_streaming_) {
        finish("answer-broke-off", answer_.status);
        sink_.abort();
        return;
    }
    if (has_sent) {
        retry_or_end_doubtful(was_forwarded, was_forwarded ? "dispatcher-lost" : "target-lost");
        return;
    }
    verdict_ = earlier_sends_verdict_;
    if (!try_acquire_attempt(false)) {
        give_up(was_forwarded ? "dispatcher-lost" : "target-unreachable");
        return;
    }
    tried_targets_.push_back(failed_target_id);
    if (is_keyed()) {
        tried_targets_.clear();
    }
    dispatch();
}

void exchange::on_unproven_refusal() {
    const bool was_forwarded = !dispatcher_.empty();
    count(core_.metrics, "unproven_refusals");
    core_.log.write("unproven_refusal", {{"request", id_},
                                         {"target", target_id_},
                                         {"status", std::int64_t{answer_.status}},
                                         {"age_ms", age_ms()},
                                         {"sends", std::int64_t{attempts_}}});
    if (answer_.status == detail::status_misdirected) {
        record_contradiction();
    }
    detach_from_target();
    retry_or_end_doubtful(was_forwarded || is_keyed(), "unproven-refusal");
}

void exchange::retry_or_end_doubtful(bool is_last_send, std::string_view reason) {
    earlier_sends_verdict_ = traffic_verdict::may_have_run;
    verdict_ = earlier_sends_verdict_;
    const bool may_retry =
        !is_last_send && is_idempotent(route_->kind) && attempts_ < route_->max_attempts;
    if (!may_retry || !try_acquire_attempt(true)) {
        give_up(reason);
        return;
    }
    if (is_keyed()) {
        tried_targets_.clear();
    }
    dispatch();
}

}  // namespace mimosavalve::gateway
