#include <algorithm>
#include <array>

#include "http_front_end_exchange.hpp"
#include "http_front_end_header.hpp"

namespace mimosavalve::adapters::front_end {

namespace asio = boost::asio;

using traffic::refusal_reason;

namespace detail {

constexpr std::chrono::milliseconds retry_pause{10};
constexpr std::chrono::seconds answer_write_limit{5};
constexpr std::uint64_t max_dropped_body = piece_size;

}  // namespace detail

void exchange::record_metrics() {
    if (table_ == nullptr || !table_->routes.contains(head_.route)) {
        return;
    }
    const auto passed = std::chrono::steady_clock::now() - watch_.started;
    const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(passed).count();
    const bool known = table_->accounts.contains(head_.calling_account);
    home_.metrics.record(watch_.priority, known ? head_.calling_account : std::string_view{},
                         verdict_, static_cast<std::uint64_t>(latency));
}

void exchange::refuse(refusal_reason reason, traffic_verdict verdict, std::string_view region) {
    finished_ = true;
    verdict_ = verdict;
    if (watch_.caller_gone) {
        cut_caller();
        return;
    }
    caller_.watch.limit = std::chrono::steady_clock::now() + detail::answer_write_limit;
    drop_rest_of_body();
    keep_alive_ = body_.done() && request_.keep_alive() && !home_.shared.stopping &&
                  reason != refusal_reason::bad_request;
    const own_answer answer{reason, verdict, caller_.request_id, region, keep_alive_, !is_head()};
    write_own_answer(caller_.out, answer);
    std::array parts{asio::const_buffer(asio::buffer(caller_.out))};
    boost::system::error_code error;
    write_all(caller_.socket, parts, yield_, error);
    if (error) {
        cut_caller();
    }
}

/// Only what was not run may be sent again, and only while the body can be sent again too.
void exchange::retry_or_refuse(refusal_reason reason, traffic_verdict verdict) {
#ifdef MV_WITHOUT_NOT_RUN_ONLY_RETRY
    const bool permitted = true;
#else
    const bool permitted = verdict == traffic_verdict::not_run;
#endif
    const auto now = std::chrono::steady_clock::now();
    const auto pause = detail::retry_pause * (retries_ + 1);
    const bool possible =
        permitted && body_.pieces_read() <= 1 && !watch_.stopped() && now + pause < watch_.deadline;
    if (!possible || !traffic::try_acquire_retry(home_.retries, now)) {
        refuse(reason, verdict);
        return;
    }
    ++retries_;
    ++home_.metrics.retries;
    worker::pause(watch_, now + pause, yield_);
    if (watch_.stopped()) {
        refuse(reason, verdict);
    }
}

void exchange::cut_caller() {
    finished_ = true;
    keep_alive_ = false;
    caller_.cut = true;
}

/// Reads the rest of a short body, which is cheaper than a new connection.
void exchange::drop_rest_of_body() {
    const bool short_rest = !body_.chunked() && !expects_continue(request_) &&
                            body_.content_length() <= detail::max_dropped_body;
    boost::system::error_code error;
    while (short_rest && !body_.done() && !error) {
        body_.next(yield_, error);
    }
}

}  // namespace mimosavalve::adapters::front_end
