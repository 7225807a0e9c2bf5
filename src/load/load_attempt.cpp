#include "load_attempt.hpp"

#include <xxhash.h>

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cinttypes>
#include <cstdio>
#include <vector>

namespace mimosavalve::load {

namespace http = boost::beast::http;

namespace detail {

constexpr std::size_t piece_bytes = 65536;
constexpr std::uint64_t most_answer_bytes = 16U << 20U;

struct hash_state_deleter {
    void operator()(XXH64_state_t* state) const { XXH64_freeState(state); }
};

std::int64_t now_ns() {
    const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::nanoseconds>(since_start).count();
}

std::string hash_text(std::uint64_t hash) {
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, hash);
    return text.data();
}

http::request<http::empty_body> header_of(const attempt_plan& plan, const attempt_record& record) {
    const auto& request = *plan.request;
    const bool reads = request.entry->kind == request_kind::read;
    http::request<http::empty_body> message(reads ? http::verb::get : http::verb::post,
                                            request.path, 11);
    message.set(http::field::host, plan.router);
    message.set("Request-Id", record.request_id);
    message.set("Client-Account", request.account->name);
    message.set("Request-Timeout-Ms", std::to_string(plan.timeout.count()));
    if (!request.idempotency_key.empty()) {
        message.set("Idempotency-Key", request.idempotency_key);
        message.set("Idempotency-Time", std::to_string(request.idempotency_unix_ms));
    }
    if (!reads) {
        message.content_length(request.body_size);
    }
    return message;
}

boost::system::error_code send_body(const planned_request& request, load_connection& connection,
                                    attempt_record& record,
                                    const boost::asio::yield_context& yield) {
    const std::unique_ptr<XXH64_state_t, hash_state_deleter> hash(XXH64_createState());
    XXH64_reset(hash.get(), 0);
    body_source source(request.body_prefix, request.body_size);
    std::vector<char> piece(std::min<std::uint64_t>(piece_bytes, request.body_size));
    boost::system::error_code error;
    while (const auto count = source.read(piece)) {
        XXH64_update(hash.get(), piece.data(), count);
        record.expected_size += count;
        // After a failure the rest is only hashed: a refusal may come before the whole body.
        if (!error) {
            boost::asio::async_write(connection.stream, boost::asio::buffer(piece.data(), count),
                                     yield[error]);
        }
    }
    record.expected_hash = hash_text(XXH64_digest(hash.get()));
    return error;
}

std::string field_text(const http::response<http::string_body>& answer, const char* name) {
    return std::string(answer[name]);
}

void note_answer(const planned_request& request, const http::response<http::string_body>& answer,
                 attempt_record& record) {
    record.status = answer.result_int();
    record.verdict = field_text(answer, "Mimosavalve-Verdict");
    record.reason = field_text(answer, "Mimosavalve-Reason");
    record.answered_id = field_text(answer, "Request-Id");
    const auto& body = answer.body();
    record.received_size = body.size();
    record.received_hash = hash_text(XXH64(body.data(), body.size(), 0));
    if (!is_good(record)) {
        return;
    }
    if (request.entry->kind == request_kind::read) {
        record.body_matches = body.starts_with(request.path + "\n");
        return;
    }
    // The answer to a write names the hash and the size of the body that arrived.
    record.received_hash = body.find(record.expected_hash) == std::string::npos
                               ? record.received_hash
                               : record.expected_hash;
    const auto size = "\"size\":" + std::to_string(record.expected_size) + "}";
    record.body_matches =
        record.received_hash == record.expected_hash && body.find(size) != std::string::npos;
}

std::string name_of(const boost::system::error_code& error) {
    return error == boost::beast::error::timeout ? "timeout" : "broken";
}

boost::system::error_code exchange(const attempt_plan& plan, load_connection& connection,
                                   attempt_record& record, bool& reusable,
                                   const boost::asio::yield_context& yield) {
    auto message = header_of(plan, record);
    boost::system::error_code error;
    http::async_write(connection.stream, message, yield[error]);
    if (!error && plan.request->body_size > 0) {
        error = send_body(*plan.request, connection, record, yield);
    }
    if (error == boost::beast::error::timeout) {
        return error;
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(most_answer_bytes);
    boost::system::error_code read_error;
    http::async_read(connection.stream, connection.buffer, parser, yield[read_error]);
    if (read_error) {
        return read_error;
    }
    note_answer(*plan.request, parser.get(), record);
    reusable = !error && parser.get().keep_alive();
    return {};
}

}  // namespace detail

attempt_record send_attempt(const attempt_plan& plan, connection_pool& pool,
                            const boost::asio::any_io_executor& executor,
                            const boost::asio::yield_context& yield) {
    attempt_record record;
    record.start_ns = detail::now_ns();
    record.request_id = plan.request->id + "." + std::to_string(plan.number);
    record.attempt = plan.number;
    record.router = plan.router;
    record.method = plan.request->entry->kind == request_kind::read ? "GET" : "POST";
    record.path = plan.request->path;
    record.account = plan.request->account->name;
    record.idempotency_key = plan.request->idempotency_key;
    boost::system::error_code error;
    auto connection = pool.take(plan.router);
    const bool opens = connection == nullptr;
    if (opens) {
        connection = std::make_unique<load_connection>(executor);
    }
    connection->stream.expires_after(plan.timeout);
    if (opens) {
        connection->stream.async_connect(endpoint_of(plan.router), yield[error]);
        record.error = error ? "connect" : "";
    }
    if (!error) {
        connection->stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), error);
        bool reusable = false;
        error = detail::exchange(plan, *connection, record, reusable, yield);
        record.error = error ? detail::name_of(error) : "";
        if (reusable) {
            connection->stream.expires_never();
            pool.give(plan.router, std::move(connection));
        }
    }
    record.end_ns = detail::now_ns();
    return record;
}

bool may_repeat(const attempt_record& record) {
    if (!record.error.empty()) {
        return record.error != "timeout";
    }
    return !is_good(record) && record.verdict == "not-run";
}

}  // namespace mimosavalve::load
