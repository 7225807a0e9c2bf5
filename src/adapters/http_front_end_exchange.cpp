#include "http_front_end_exchange.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include "http_front_end_header.hpp"

namespace mimosavalve::adapters::front_end {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using traffic::refusal_reason;

namespace detail {

constexpr std::chrono::seconds default_timeout{2};
// Renewals come every 100 ms; a router that gets no lease for this long is cut off.
constexpr std::chrono::milliseconds lease_hold{300};
constexpr unsigned http_1_1 = 11;

/// Chunked is the only coding that the router decodes and encodes again.
bool has_known_framing(const request_parser& request) {
    const auto coding = request.get()[http::field::transfer_encoding];
    return coding.empty() || beast::iequals(coding, "chunked");
}

refusal_reason reason_of(claim_result result) {
    switch (result) {
        case claim_result::duplicate:
            return refusal_reason::duplicate;
        case claim_result::too_old:
            return refusal_reason::too_old;
        default:
            return refusal_reason::claim_unavailable;
    }
}

/// Shared with the answer to a claim, which may come after the request has ended.
struct claim_wait {
    std::optional<claim_result> result;
    asio::steady_timer* timer = nullptr;
};

front_end_hooks::claim_handler make_claim_handler(worker& home,
                                                  const std::shared_ptr<claim_wait>& wait) {
    return [&context = home.context(), gate = home.shared.claims, wait](claim_result result) {
        const std::lock_guard lock(gate->mutex);
        if (!gate->open) {
            return;
        }
        asio::post(context, [wait, result] {
            wait->result = result;
            if (wait->timer != nullptr) {
                wait->timer->cancel();
            }
        });
    };
}

}  // namespace detail

exchange::exchange(session& caller, request_parser& request, const asio::yield_context& yield)
    : caller_(caller),
      home_(caller.home),
      request_(request),
      yield_(yield),
      body_(caller.socket, caller.buffer, request, caller.home.pieces) {
    watch_.started = std::chrono::steady_clock::now();
    watch_.deadline = watch_.started + detail::default_timeout;
    watch_.caller = &caller.socket;
    watch_.timer = &caller.timer;
    home_.add(watch_);
}

exchange::~exchange() {
    home_.remove(watch_);
}

bool exchange::run() {
    if (!read_head()) {
        refuse(refusal_reason::bad_request, traffic_verdict::not_run);
        return false;
    }
    traffic::record_first_attempt(home_.retries);
    while (!finished_) {
        attempt();
    }
    body_.consume_handed_out();
    record_metrics();
    return keep_alive_;
}

bool exchange::is_head() const {
    return request_.get().method() == http::verb::head;
}

bool exchange::read_head() {
    const auto& message = request_.get();
    caller_.request_id.assign(as_view(message["Request-Id"]));
    if (!traffic::is_valid_request_id(caller_.request_id)) {
        caller_.request_id.clear();
        home_.append_request_id(caller_.request_id);
    }
    head_.method = as_view(message.method_string());
    const bool valid = message.version() == detail::http_1_1 &&
                       detail::has_known_framing(request_) &&
                       traffic::split_path(as_view(message.target()), head_);
    if (!valid) {
        return false;
    }
    const auto calling_account = as_view(message["Client-Account"]);
    head_.calling_account = calling_account.empty() ? head_.account : calling_account;
    head_.idempotency_key = as_view(message["Idempotency-Key"]);
    head_.idempotency_time_ms = traffic::parse_number(as_view(message["Idempotency-Time"]));
    return true;
}

void exchange::choose_deadline(const traffic::routing_table& table) {
    const auto route = table.routes.find(head_.route);
    auto timeout = route == table.routes.end() ? std::chrono::milliseconds(detail::default_timeout)
                                               : route->second.config->timeout;
    const auto asked = traffic::parse_number(as_view(request_.get()["Request-Timeout-Ms"]));
    if (asked && *asked < static_cast<std::uint64_t>(timeout.count())) {
        timeout = std::chrono::milliseconds(*asked);
    }
    watch_.deadline = watch_.started + timeout;
    if (route != table.routes.end()) {
        watch_.priority = route->second.config->priority;
    }
}

void exchange::attempt() {
    table_ = home_.table();
    if (table_ == nullptr) {
        refuse(refusal_reason::no_serving_lease, traffic_verdict::not_run);
        return;
    }
    if (attempts_ == 0) {
        choose_deadline(*table_);
    }
    ++attempts_;
    const auto now = std::chrono::steady_clock::now();
    const auto decision = traffic::decide(*table_, head_, now,
                                          [this](auto candidates) { return choose(candidates); });
    if (const auto* refused = std::get_if<traffic::refuse>(&decision)) {
        refuse(refused->reason, traffic::verdict_before_send(refused->reason), refused->detail);
    } else if (const auto* held = std::get_if<traffic::defer>(&decision)) {
        wait_for_state(*held, now);
    } else {
        send(std::get<traffic::send_to>(decision));
    }
}

void exchange::wait_for_state(const traffic::defer& held, steady_time now) {
    const bool lease_only = held.reason == refusal_reason::no_serving_lease;
    const auto limit = lease_only ? std::min(watch_.deadline, watch_.started + detail::lease_hold)
                                  : watch_.deadline;
    const bool waited = now < limit && !watch_.stopped() && home_.hold(watch_, yield_);
    if (watch_.caller_gone) {
        cut_caller();
    } else if (!waited) {
        refuse(held.reason, traffic_verdict::not_run);
    }
}

void exchange::send(const traffic::send_to& decision) {
    if (!prepare_body(*decision.route->config) || !pass_limits()) {
        return;
    }
    auto& gate = gate_to(*decision.target, *decision.shard);
    if (!admit(gate, *decision.route->config)) {
        return;
    }
    const place_scope place(home_, gate);
    auto& target = *gate.target;
    std::error_code error;
    auto connection = home_.pool.acquire(target, decision.keyed, watch_.deadline, yield_, error);
    if (watch_.caller_gone) {
        cut_caller();
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    if (watch_.expired || now >= watch_.deadline) {
        refuse(refusal_reason::deadline, traffic_verdict::not_run);
        return;
    }
    if (connection == nullptr) {
        home_.shared.confirm_loss(target.id);
        avoided_ = target.id;
        retry_or_refuse(refusal_reason::target_unreachable, traffic_verdict::not_run);
        return;
    }
    note_instance(gate);
    const bool claimed = claim(decision);
    if (!claimed || !may_still_send(decision, target, std::chrono::steady_clock::now())) {
        // Unless it has ended, the request is decided anew with the newest table and lease.
        target_pool::release(target, std::move(connection), now);
        return;
    }
    forward(decision, gate, std::move(connection));
}

/// Reads the first piece of the body, so that it leaves with the header.
bool exchange::prepare_body(const config::route_config& route) {
    if (body_prepared_) {
        return true;
    }
    if (body_.content_length() > route.max_body_bytes) {
        refuse(refusal_reason::body_too_large, traffic_verdict::not_run);
        return false;
    }
    body_prepared_ = true;
    if (body_.done()) {
        return true;
    }
    boost::system::error_code error;
    if (expects_continue(request_) && caller_.buffer.size() == 0) {
        std::array parts{asio::const_buffer("HTTP/1.1 100 Continue\r\n\r\n", 25)};
        write_all(caller_.socket, parts, yield_, error);
    }
    if (!error) {
        first_piece_ = body_.next(yield_, error);
    }
    if (!error) {
        return true;
    }
    if (watch_.expired) {
        refuse(refusal_reason::deadline, traffic_verdict::not_run);
    } else if (error.category() == http::make_error_code(http::error::bad_chunk).category()) {
        refuse(refusal_reason::bad_request, traffic_verdict::not_run);
    } else {
        cut_caller();
    }
    return false;
}

/// Claims the idempotency key once for all attempts. False when the request has ended.
bool exchange::claim(const traffic::send_to& decision) {
    const bool needed = decision.route->config->non_idempotent && head_.method == "POST";
    if (!needed || claimed_) {
        return true;
    }
    const auto wait = std::make_shared<detail::claim_wait>();
    wait->timer = &caller_.timer;
    if (home_.shared.hooks.claim) {
        claim_request request;
        request.shard = traffic::claim_shard_of(*table_, decision, head_);
        request.key.append(head_.route).append("/").append(head_.account).append("/");
        request.key.append(head_.idempotency_key);
        request.first_attempt_unix_ms = head_.idempotency_time_ms.value_or(0);
        request.deadline = watch_.deadline;
        home_.shared.hooks.claim(std::move(request), detail::make_claim_handler(home_, wait));
        while (!wait->result && !watch_.stopped()) {
            worker::pause(watch_, watch_.deadline, yield_);
        }
    }
    wait->timer = nullptr;
    const auto result = wait->result.value_or(claim_result::unavailable);
    claimed_ = result == claim_result::granted;
    if (watch_.caller_gone) {
        cut_caller();
    } else if (!claimed_) {
        const auto reason = detail::reason_of(result);
        refuse(reason, traffic::verdict_before_send(reason));
    }
    return claimed_ && !finished_;
}

/// Opening a connection and claiming a key take time, in which the lease may have ended or the slot
/// may have moved. Between this check and the send the thread does nothing else.
bool exchange::may_still_send(const traffic::send_to& decision, const pooled_target& target,
                              steady_time now) {
#ifndef MV_WITHOUT_CLOCK_RECHECK
    // Another request's failure may have made the clock unknown; without Start-By a frozen target
    // could start the request at any later time.
    if (decision.keyed && !target.clock) {
        return false;
    }
#else
    static_cast<void>(target);
#endif
#ifdef MV_WITHOUT_LEASE_RECHECK
    static_cast<void>(decision);
    static_cast<void>(now);
    return true;
#else
    return home_.table() == table_ && now < decision.shard->serving_lease->until();
#endif
}

}  // namespace mimosavalve::adapters::front_end
