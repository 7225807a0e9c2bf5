#include <algorithm>
#include <random>
#include <sstream>
#include <utility>

#include "answer_meaning.hpp"
#include "exchange.hpp"
#include "exchange_detail.hpp"
#include "mimosavalve/core/error.hpp"

namespace mimosavalve::gateway {

namespace detail {

// Maximum size of an answer that is passed on only once it is complete, so that the router can
// still send an error if the target's answer breaks off.
constexpr std::size_t max_whole_answer_bytes = 128U << 10U;
// Maximum size of an answer without a length to a caller with HTTP/1.0, for which it is kept until
// it is complete.
constexpr std::size_t max_answer_bytes_http_1_0 = 4U << 20U;
constexpr int http_1_1 = 11;
// Number of unsent bytes of an answer at which the router stops reading from the target.
constexpr std::size_t max_unsent_answer_bytes = 256U << 10U;

double random_fraction() {
    static std::minstd_rand source{std::random_device{}()};
    return std::uniform_real_distribution<double>(0, 1)(source);
}

std::int64_t ms_between(exchange::steady::time_point from, exchange::steady::time_point to) {
    return std::chrono::duration_cast<milliseconds>(to - from).count();
}

}  // namespace detail

target_state* exchange::current_target() const {
    const auto found = core_.state.targets.find(target_id_);
    return found != core_.state.targets.end() &&
                   found->second->entry.started_unix_ms == target_instance_
               ? found->second.get()
               : nullptr;
}

target_state* exchange::counting_target() const {
    auto* target = current_target();
    return target != nullptr && target->number == counted_by_ ? target : nullptr;
}

bool exchange::is_request_written() const {
    return body_complete_ && body_sent_ >= body_.size() && (!head_.chunked || body_end_sent_);
}

void exchange::detach_from_target() {
    connector_.reset();
    if (target_id_.empty()) {
        return;
    }
    auto* target = counting_target();
    if (target != nullptr) {
        --target->running;
    } else if (dispatcher_.empty()) {
        count(core_.metrics, "requests_outlived_target_state");
    }
    if (link_) {
        link_->end_request();
        // The target would read the next request as the rest of an incomplete body.
        const bool is_body_sent = is_request_written();
        const bool may_keep = target != nullptr || !dispatcher_.empty();
        if (link_->is_reusable() && is_body_sent && may_keep) {
            core_.idle_links[target_id_].push_back(std::move(link_));
        } else {
            if (target != nullptr) {
                --target->open_connections;
            }
            // The link may be on the call stack, so it is destroyed later.
            core_.defer([kept = std::shared_ptr<target_link>(std::move(link_))] {});
        }
    } else if (target != nullptr) {
        --target->open_connections;
    }
    link_.reset();
    target_id_.clear();
    dispatcher_.clear();
    core_.wake_waiting();
}

target_state* exchange::answering_target() const {
    if (dispatcher_.empty()) {
        return current_target();
    }
    const auto instance = field_of(answer_, detail::answered_by_field);
    const auto found = core_.state.targets.find(instance.substr(0, instance.rfind('@')));
    return found != core_.state.targets.end() &&
                   instance_name(found->first, found->second->entry.started_unix_ms) == instance
               ? found->second.get()
               : nullptr;
}

void exchange::on_answer_head(const message_head& head) {
    answer_ = head;
    if (auto* target = answering_target(); target != nullptr) {
        const auto load = core_.platform.decode_load(field_of(head, core_.platform.headers.load));
        if (load) {
            record_load(*target, *load, boot_clock::now());
        } else if (has_field(head, core_.platform.headers.load)) {
            count(core_.metrics, "odd_loads");
            core_.log.write("load_unreadable",
                            {{"request", id_},
                             {"target", target->entry.id},
                             {"load", field_of(head, core_.platform.headers.load)}});
        }
        record_notice(*target);
    }
}

void exchange::record_notice(const target_state& target) {
    if (!core_.platform.decode_notice) {
        return;
    }
    const auto notice = core_.platform.decode_notice(answer_);
    const bool is_known = core_.state.notices.contains(target.entry.id);
    if (!notice.request_limit && !notice.leaving && !notice.pause && notice.problem.empty() &&
        !is_known) {
        return;
    }
    const auto now = boot_clock::now();
    const auto sent_at = now - std::chrono::duration_cast<milliseconds>(steady::now() - sent_at_);
    auto& known = notice_of(core_.state, target);
    const auto said_at = known.limit_said_at;
    const bool begins_to_leave =
        notice.leaving && !std::exchange(known.leaving, known.leaving || notice.leaving);
    const bool is_paused_longer = notice.pause && record_pause(known, *notice.pause, now);
    const bool has_changed =
        record_limit(known, notice, sent_at, now) || begins_to_leave || is_paused_longer;
    if (is_paused_longer) {
        count(core_.metrics, "target_pauses");
    }
    if (!notice.problem.empty()) {
        count(core_.metrics, "odd_notices");
    }
    if (has_changed || !notice.problem.empty()) {
        core_.log.write("target_notice", {{"request", id_},
                                          {"target", target.entry.id},
                                          {"limit", std::to_string(known.request_limit)},
                                          {"leaving", std::int64_t{known.leaving}},
                                          {"share", std::to_string(known.share.value_or(-1))},
                                          {"last_said_ms", said_at == boot_time{}
                                                               ? std::int64_t{-1}
                                                               : -milliseconds_until(said_at, now)},
                                          {"pause_ms", notice.pause ? notice.pause->count() : -1},
                                          {"problem", std::string_view(notice.problem)}});
    }
}

bool exchange::should_stream_answer() const {
    return answer_body_.size() > detail::max_whole_answer_bytes &&
           (answer_.content_length || head_.version >= detail::http_1_1);
}

void exchange::send_answer_part(std::string data) {
    if (!sends_chunks_) {
        sink_.send_part(std::move(data));
        return;
    }
    if (data.empty()) {
        return;  // An empty chunk would end the answer.
    }
    std::ostringstream chunk;
    chunk << std::hex << data.size() << "\r\n" << data << "\r\n";
    sink_.send_part(chunk.str());
}

void exchange::on_answer_body(std::string_view data) {
    answer_body_.append(data);
    received_answer_bytes_ += data.size();
    const bool is_long = answer_body_.size() > detail::max_whole_answer_bytes;
    if (!is_streaming_ && is_long && end_if_refused()) {
        return;
    }
    const bool is_signed = has_field(answer_, core_.platform.headers.signature);
    if (!is_streaming_ && should_stream_answer()) {
        if (!is_signed) {
            on_connection_lost(make_error_code(errc::malformed_message));
            return;
        }
        is_streaming_ = true;
        sends_chunks_ = !answer_.content_length;
        count(core_.metrics, sends_chunks_ ? "answers_in_chunks" : "answers_in_parts");
        sink_.send_part(answer_head(answer_, answer_.content_length));
    }
    if (!is_streaming_ && answer_body_.size() > detail::max_answer_bytes_http_1_0) {
        give_up("answer-too-long");
        return;
    }
    if (is_streaming_) {
        send_answer_part(std::exchange(answer_body_, {}));
        if (sink_.unsent_bytes() > detail::max_unsent_answer_bytes) {
            link_->set_reading_enabled(false);
        }
    }
}

void exchange::resume_answer() {
    if (is_streaming_ && link_) {
        link_->set_reading_enabled(true);
    }
}

void exchange::on_answer_end() {
    const auto& names = core_.platform.headers;
    const bool success =
        answer_.status >= detail::status_ok && answer_.status < detail::status_multiple_choices;
    const auto own_verdict =
        dispatcher_.empty() ? std::string_view() : field_of(answer_, detail::verdict_field);
    if (!own_verdict.empty() && !success) {
        // The dispatcher's own answer, which says whether the request may have run.
        const bool is_not_run = own_verdict == to_string(traffic_verdict::not_run);
        verdict_ = is_not_run ? earlier_sends_verdict_ : traffic_verdict::may_have_run;
        if (is_not_run && retry_after_dispatcher(field_of(answer_, detail::reason_field))) {
            return;
        }
        if (verdict_ != traffic_verdict::not_run && promises_not_run(answer_.status)) {
            on_unproven_refusal();
            return;
        }
        answer_from_target();
        return;
    }
    if (!is_streaming_ && end_if_refused()) {
        return;
    }
    // A target that was killed during an upload ends its connection in an orderly way if it had
    // read all that had arrived, and resets it only on what arrives later.
    if (link_->was_ended_by_close() && (link_->has_doubtful_end() || !is_request_written())) {
        count(core_.metrics, "answers_with_doubtful_end");
        on_connection_lost(std::make_error_code(std::errc::connection_reset));
        return;
    }
    if (success && !has_field(answer_, names.signature)) {
        // Not written by the target, so the request may or may not have run, as after a lost
        // connection.
        on_connection_lost(make_error_code(errc::malformed_message));
        return;
    }
    verdict_ = traffic_verdict::ran;
    record_confirmation();
    if (success) {
        record_transfer(core_.state.transfer_sizes[route_->name], received_body_bytes_,
                        received_answer_bytes_);
    }
    const auto& suspects = core_.announced_crashes.suspects;
    if (success && !suspects.empty() && fingerprint() && suspects.contains(*fingerprint_)) {
        core_.crashes.answered_suspects.insert(*fingerprint_);
    }
    if (!dispatcher_.empty()) {
        record_forwarded_answer();
    }
    if (auto* target = current_target(); target != nullptr) {
        // Latencies from another region include the transfer, and failures are often quick, so
        // neither shows the duration of the work.
        const bool shows_work =
            success && target->load.slots > 0 &&
            region_of(core_.state.regions, target->entry.failure_domain) == core_.state.own_region;
        record_answer(*target, std::chrono::duration_cast<milliseconds>(steady::now() - sent_at_),
                      shows_work);
    }
    answer_from_target();
}

void exchange::expire() {
    if (done_) {
        return;
    }
    deadline_position_.reset();
    if (is_streaming_) {
        finish("timeout-in-answer", answer_.status);
        sink_.abort();
        return;
    }
    if (!dispatcher_.empty() && answer_.status == 0) {
        avoid_dispatcher(std::string(dispatcher_));
    }
    refuse(verdict_ == traffic_verdict::not_run ? detail::status_unavailable
                                                : detail::status_gateway_timeout,
           "timeout");
}

void exchange::end_with_process() {
    if (done_) {
        return;
    }
    if (is_streaming_) {
        finish("stopping", answer_.status);
        sink_.abort();
        return;
    }
    give_up("stopping");
}

void exchange::cancel() {
    if (done_) {
        return;
    }
    count(core_.metrics, "callers_left");
    finish("caller-left", 0);
}

std::string exchange::answer_head(const message_head& head, std::optional<std::uint64_t> length) {
    keep_alive_ = keep_alive_ && !(core_.stopping && sink_.is_last());
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + " ";
    text.append(reason_phrase(head.status)).append("\r\n");
    for (const auto& field : head.fields) {
        if (!is_hop_by_hop(head, field.name) &&
            !detail::equals_ignoring_case(field.name, detail::answered_by_field)) {
            append_field(text, field.name, field.value);
        }
    }
    if (is_forwarded_ && !target_id_.empty()) {
        append_field(text, detail::answered_by_field, instance_name(target_id_, target_instance_));
    }
    if (length) {
        append_field(text, "Content-Length", std::to_string(*length));
    } else {
        append_field(text, "Transfer-Encoding", "chunked");
    }
    if (!keep_alive_) {
        append_field(text, "Connection", "close");
    }
    return text + "\r\n";
}

void exchange::answer_from_target() {
    const auto status = answer_.status;
    record_latency(core_.metrics, to_string(route_->kind), steady::now() - arrived_);
    if (is_streaming_) {
        if (sends_chunks_) {
            sink_.send_part("0\r\n\r\n");
        }
        finish("answered", status);
        sink_.end();
        return;
    }
    const bool without_body = head_.method == "HEAD";
    auto text = answer_head(
        answer_, without_body ? answer_.content_length.value_or(0) : answer_body_.size());
    text.append(answer_body_);
    finish("answered", status);
    sink_.send_whole(std::move(text));
}

void exchange::give_up(std::string_view reason, const wait_estimate& estimate) {
    refuse(verdict_ == traffic_verdict::not_run ? detail::status_unavailable
                                                : detail::status_bad_gateway,
           reason, estimate);
}

void exchange::refuse(unsigned status, std::string_view reason, const wait_estimate& estimate) {
    message_head head;
    head.status = status;
    head.fields.push_back({core_.platform.headers.request_id, id_});
    head.fields.push_back({std::string(detail::reason_field), std::string(reason)});
    head.fields.push_back({std::string(detail::verdict_field), std::string(to_string(verdict_))});
    if (status == detail::status_unavailable) {
        const auto requested_ms =
            detail::parse_number(field_of(head_, core_.platform.headers.deadline));
        const auto left = milliseconds(requested_ms.value_or(detail::default_timeout.count())) -
                          milliseconds(age_ms()) + forwarded_age_;
        const auto wait =
            retry_after(estimate, std::max(left, milliseconds(0)), detail::random_fraction());
        constexpr double ms_per_s = 1000;
        head.fields.push_back({core_.platform.headers.retry_after,
                               std::to_string(static_cast<double>(wait.count()) / ms_per_s)});
    }
    count(core_.metrics, "refused_" + std::string(reason));
    finish(reason, status);
    sink_.send_whole(answer_head(head, 0));
}

void exchange::finish(std::string_view outcome, unsigned status) {
    done_ = true;
    const auto target =
        target_id_.empty() && !tried_targets_.empty() ? tried_targets_.back() : target_id_;
    stop_waiting();
    detach_from_target();
    if (deadline_position_) {
        core_.deadlines.erase(*deadline_position_);
        deadline_position_.reset();
    }
    count(core_.metrics, "requests_finished");
    core_.log.write("request",
                    {{"request", id_},
                     {"route", route_ ? std::string_view(route_->name) : "none"},
                     {"config", static_cast<std::int64_t>(core_.state.config.version)},
                     {"target", target},
                     {"outcome", outcome},
                     {"status", std::int64_t{status}},
                     {"verdict", to_string(verdict_)},
                     {"sends", std::int64_t{attempts_}},
                     {"age_ms", age_ms()},
                     {"ahead", static_cast<std::int64_t>(ahead_)},
                     {"unread_ms", unread_ ? unread_->count() : -1},
                     {"sent_ms", attempts_ > 0 ? detail::ms_between(arrived_, sent_at_) : -1},
                     {"connect_ms", attempts_ > 0 ? detail::ms_between(chosen_at_, sent_at_) : -1},
                     {"registry_age_ms", std::int64_t{registry_age_.count()}}});
}

}  // namespace mimosavalve::gateway
