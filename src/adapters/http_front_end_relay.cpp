#include <algorithm>
#include <array>
#include <boost/beast/http/error.hpp>
#include <charconv>

#include "http_front_end_exchange.hpp"
#include "http_front_end_header.hpp"

namespace mimosavalve::adapters::front_end {

namespace asio = boost::asio;
namespace http = boost::beast::http;

using traffic::refusal_reason;

namespace detail {

/// Buffers of one write: a header, a part of a body with its chunk frame, the last chunk.
class write_parts {
public:
    void add(std::string_view text) {
        parts_.at(count_++) = asio::const_buffer(asio::buffer(text));
    }

    void add_body(asio::const_buffer part, bool chunked, bool last) {
        if (chunked && part.size() > 0) {
            auto* begin = size_.data();
            auto* end = std::to_chars(begin, begin + size_.size() - 2, part.size(), 16).ptr;
            *end++ = '\r';
            *end++ = '\n';
            parts_.at(count_++) = asio::const_buffer(begin, static_cast<std::size_t>(end - begin));
            parts_.at(count_++) = part;
            add("\r\n");
        } else if (part.size() > 0) {
            parts_.at(count_++) = part;
        }
        if (chunked && last) {
            add("0\r\n\r\n");
        }
    }

    std::span<asio::const_buffer> all() { return {parts_.data(), count_}; }

private:
    std::array<asio::const_buffer, 5> parts_;
    std::array<char, 20> size_{};
    std::size_t count_ = 0;
};

/// Ends an upload as soon as the target answers, so that an early refusal is not lost.
struct early_answer {
    bool watching = true;
    bool arrived = false;
};

/// Registers a keyed request with its thread while it is in flight.
class flight_scope {
public:
    flight_scope(worker& home, traffic::in_flight_request* request)
        : home_(home), request_(request) {
        if (request_ != nullptr) {
            home_.sent(*request_);
        }
    }
    ~flight_scope() {
        if (request_ != nullptr) {
            home_.ended(*request_);
        }
    }
    flight_scope(const flight_scope&) = delete;
    flight_scope& operator=(const flight_scope&) = delete;

private:
    worker& home_;
    traffic::in_flight_request* request_;
};

bool is_parse_error(const boost::system::error_code& error) {
    return error.category() == http::make_error_code(http::error::bad_method).category() &&
           error != http::error::end_of_stream && error != http::error::partial_message;
}

bool has_no_body(const response_parser& answer) {
    const auto status = answer.get().result_int();
    return status == 204 || status == 304;
}

std::uint64_t milliseconds_until(steady_time deadline, steady_time now) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, left.count()));
}

void note_buffered(shared_state& shared, std::size_t size) {
    if (size > shared.largest_buffered.load(std::memory_order_relaxed)) {
        shared.largest_buffered.store(size, std::memory_order_relaxed);
    }
}

}  // namespace detail

void exchange::forward(const traffic::send_to& decision, target_gate& gate,
                       std::unique_ptr<target_connection> connection) {
    traffic::in_flight_request* registered = nullptr;
    if (decision.keyed) {
        traffic::fill_request(caller_.in_flight, head_, decision);
        registered = &caller_.in_flight;
    }
    const detail::flight_scope in_flight(home_, registered);
    watch_.target = &connection->socket;
    relay(decision, gate, connection);
    watch_.target = nullptr;
}

void exchange::relay(const traffic::send_to& decision, target_gate& gate,
                     std::unique_ptr<target_connection>& connection) {
    auto& target = *gate.target;
    boost::system::error_code error;
    const auto written = write_head(decision, target, *connection, error);
    if (error && written == 0) {
        // The kernel took no byte, so the target can't have seen any.
        target_pool::record_failure(target, std::chrono::steady_clock::now());
        drop(connection);
        retry_or_refuse(refusal_reason::connection_lost, traffic_verdict::not_run);
        return;
    }
    const bool uploaded =
        body_.done() ? !error : upload(connection, decision.route->config->max_body_bytes);
    if (!finished_) {
        receive(decision, gate, connection, uploaded);
    }
}

/// Closing the connection is also what cancels the request at the target, so it comes before the
/// answer to the caller.
void exchange::drop(std::unique_ptr<target_connection>& connection) {
    watch_.target = nullptr;
    connection.reset();
}

std::size_t exchange::write_head(const traffic::send_to& decision, const pooled_target& target,
                                 target_connection& connection, boost::system::error_code& error) {
    const auto now = std::chrono::steady_clock::now();
    forwarded_fields fields;
    fields.request_id = caller_.request_id;
    fields.calling_account = head_.calling_account;
    fields.service = decision.route->service->config->name;
    fields.fence = decision.fence;
    if (decision.keyed) {
        fields.slot = decision.slot;
    }
    fields.timeout_ms = detail::milliseconds_until(watch_.deadline, now);
    if (decision.keyed && target.clock) {
        const auto start_by = std::min({now + home_.shared.settings.start_window, watch_.deadline,
                                        decision.shard->serving_lease->until()});
        fields.start_by_ms = traffic::start_by_ms(*target.clock, std::max(start_by, now), now);
    }
    write_request_header(caller_.request_out, request_, fields);
    detail::write_parts parts;
    parts.add(caller_.request_out);
    parts.add_body(first_piece_, body_.chunked(), body_.done());
    return write_all(connection.socket, parts.all(), yield_, error);
}

/// Passes the rest of the body on. False when the target has not taken all of it.
bool exchange::upload(std::unique_ptr<target_connection>& used, std::uint64_t max_body) {
    auto& connection = *used;
    // The first piece, which the fingerprint covers, does not stay.
    fingerprint();
    const auto early = std::make_shared<detail::early_answer>();
    connection.socket.async_wait(tcp::socket::wait_read,
                                 [early, this, &connection](const boost::system::error_code&) {
                                     if (early->watching) {
                                         early->arrived = true;
                                         boost::system::error_code ignored;
                                         caller_.socket.cancel(ignored);
                                         connection.socket.cancel(ignored);
                                     }
                                 });
    boost::system::error_code error;
    bool caller_failed = false;
    while (!body_.done() && !error && !early->arrived && !watch_.stopped()) {
        const auto part = body_.next(yield_, error);
        caller_failed = static_cast<bool>(error);
        detail::note_buffered(home_.shared, part.size());
        if (!error && body_.passed() > max_body) {
            early->watching = false;
            drop(used);
            refuse(refusal_reason::body_too_large, traffic_verdict::may_have_run);
            return false;
        }
        if (!error && !early->arrived) {
            detail::write_parts parts;
            parts.add_body(part, body_.chunked(), body_.done());
            write_all(connection.socket, parts.all(), yield_, error);
        }
    }
    early->watching = false;
    boost::system::error_code ignored;
    connection.socket.cancel(ignored);
    if (caller_failed && !early->arrived && !watch_.stopped()) {
        // The caller left or broke its own framing; closing the connection cancels the request.
        cut_caller();
    }
    return body_.done() && !error && !early->arrived;
}

void exchange::receive(const traffic::send_to& decision, target_gate& gate,
                       std::unique_ptr<target_connection>& connection, bool uploaded) {
    auto& target = *gate.target;
    std::optional<response_parser> answer;
    boost::system::error_code error;
    watch_.sent = std::chrono::steady_clock::now();
    watch_.connection = connection.get();
    watch_.awaited = &target;
    const bool received = read_answer_header(*connection, answer, error);
    watch_.awaited = nullptr;
    if (!received) {
        drop(connection);
        fail_answer(gate, error);
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    const auto& message = answer->get();
#ifndef MV_WITHOUT_REQUEST_ID_CHECK
    if (as_view(message["Request-Id"]) != caller_.request_id) {
        drop(connection);
        refuse(refusal_reason::wrong_request_id, traffic_verdict::may_have_run);
        return;
    }
#endif
    target_pool::record_answer(target, *connection, as_view(message["Target-Clock"]),
                               as_view(message["Target-Instance"]), now);
    if (answer->need_eof() && !is_head() && !detail::has_no_body(*answer)) {
        // Without a length a truncated answer looks like a whole one.
        drop(connection);
        refuse(refusal_reason::bad_answer, traffic_verdict::may_have_run);
        return;
    }
    if (!says_not_run(*answer)) {
        note_success(decision, gate);
        stream_answer(target, connection, *answer, uploaded);
        return;
    }
    avoided_ = target.id;
    note_refusal(gate);
    const bool whole = uploaded && answer->keep_alive() && !answer->chunked() &&
                       answer->content_length().value_or(0) == connection->buffer.size();
    if (whole) {
        connection->buffer.clear();
        target_pool::release(target, std::move(connection), now);
    }
    drop(connection);
    retry_or_refuse(refusal_reason::target_refused, traffic_verdict::not_run);
}

bool exchange::read_answer_header(target_connection& connection,
                                  std::optional<response_parser>& answer,
                                  boost::system::error_code& error) {
    do {
        answer.emplace(std::piecewise_construct, std::make_tuple(),
                       std::make_tuple(header_allocator(&caller_.header_arena)));
        answer->header_limit(max_header);
        answer->body_limit(UINT64_MAX);
        answer->skip(is_head());
        if (watch_.stopped()) {
            error = asio::error::operation_aborted;
            return false;
        }
        read_header(connection.socket, connection.buffer, *answer, yield_, error);
        if (error) {
            return false;
        }
        // Interim answers tell nothing that the caller waits for.
    } while (answer->get().result_int() < 200);
    return true;
}

void exchange::fail_answer(target_gate& gate, const boost::system::error_code& error) {
    if (watch_.caller_gone) {
        cut_caller();
        return;
    }
    if (watch_.expired) {
        note_refusal(gate);
        refuse(refusal_reason::deadline, traffic_verdict::may_have_run);
        return;
    }
    target_pool::record_failure(*gate.target, std::chrono::steady_clock::now());
    if (detail::is_parse_error(error)) {
        retry_or_refuse(refusal_reason::bad_answer, traffic_verdict::may_have_run);
        return;
    }
    home_.shared.record_loss(gate.target->id, fingerprint());
    retry_or_refuse(refusal_reason::connection_lost, traffic_verdict::may_have_run);
}

void exchange::stream_answer(pooled_target& target, std::unique_ptr<target_connection>& connection,
                             response_parser& answer, bool uploaded) {
    body_reader<response_parser> body(connection->socket, connection->buffer, answer, home_.pieces);
    boost::system::error_code error;
    asio::const_buffer part;
    // An answer to HEAD names its coding but has no chunks.
    const bool chunked = body.chunked() && !body.done();
    if (!body.done()) {
        part = body.next(yield_, error);
    }
    if (error) {
        drop(connection);
        const auto reason =
            watch_.expired ? refusal_reason::deadline : refusal_reason::truncated_answer;
        refuse(reason, traffic_verdict::may_have_run);
        return;
    }
    finished_ = true;
    verdict_ = traffic_verdict::ran;
    keep_alive_ = uploaded && request_.keep_alive() && !home_.shared.stopping;
    write_answer_header(caller_.out, answer, caller_.request_id, traffic_verdict::ran, keep_alive_);
    detail::write_parts first;
    first.add(caller_.out);
    first.add_body(part, chunked, body.done());
    write_all(caller_.socket, first.all(), yield_, error);
    while (!error && !body.done() && !watch_.stopped()) {
        part = body.next(yield_, error);
        detail::note_buffered(home_.shared, part.size());
        if (!error) {
            detail::write_parts parts;
            parts.add_body(part, chunked, body.done());
            write_all(caller_.socket, parts.all(), yield_, error);
        }
    }
    if (error || !body.done()) {
        // The caller must see that the answer is not whole.
        verdict_ = traffic_verdict::may_have_run;
        cut_caller();
        return;
    }
    body.consume_handed_out();
    if (uploaded && answer.keep_alive()) {
        target_pool::release(target, std::move(connection), std::chrono::steady_clock::now());
    }
}

}  // namespace mimosavalve::adapters::front_end
