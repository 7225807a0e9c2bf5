#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "exchange.hpp"
#include "mimosavalve/gateway/http_message.hpp"
#include "mimosavalve/gateway/stream.hpp"
#include "router_core.hpp"

namespace mimosavalve::gateway {

/// Connection of a caller. Requests that arrive before earlier ones are answered (pipelining) are
/// forwarded at once if they are idempotent; the answers leave in the order of the requests.
///
/// A caller repeats what it sent behind an answer that closes the connection, whatever its kind.
/// So a request that is not idempotent is forwarded only once all answers before it have left.
class caller_session {
public:
    using steady = std::chrono::steady_clock;

    /// `on_closed` is called once, after which the owner deletes the session, but not within that
    /// call.
    /// `is_forwarding`: the connection is that of another router, which forwards requests.
    caller_session(router_core& core, std::unique_ptr<stream> connection,
                   std::function<void(caller_session*)> on_closed, bool is_forwarding = false);
    ~caller_session();
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;

    /// Closes the connection if it has been idle for too long, or its header is not complete in
    /// time.
    void check_time(steady::time_point now);
    /// Closes the connection unless it carries a request, or one has arrived.
    void close_if_idle();
    /// Gives the final answers to all requests, since the process ends.
    void end_with_process();
    [[nodiscard]] bool is_busy() const { return !requests_.empty() || !input_.empty(); }

private:
    /// A request that has no complete answer yet, or whose answer waits for those before it.
    struct pending_request {
        std::unique_ptr<exchange> forwarding;  ///< Null for a request that could not be parsed.
        std::string queued_answer;             ///< Bytes that wait for the answers before them.
        bool is_started = false;
        bool is_read = false;  ///< The whole request was read.
        bool is_answered = false;
        bool is_broken_off = false;  ///< The answer ended early.
        bool closes = false;         ///< Its answer closes the connection.
    };
    /// Bytes that one read received; tells when a request behind others arrived.
    struct arrival {
        std::size_t bytes = 0;
        steady::time_point at;
        std::optional<milliseconds> unread;  ///< See `request_arrival`.
    };

    void read();
    void parse_input();
    [[nodiscard]] bool is_reading_body() const;
    void update_reading();
    /// Whether another request may be begun while those in `requests_` are unanswered.
    [[nodiscard]] bool may_begin_request() const;
    void consume_input(std::size_t bytes);
    void start_parser();
    void begin_request(message_head head);
    [[nodiscard]] answer_sink make_sink(pending_request& request);
    /// Whether a request has to wait until all answers before it have left.
    [[nodiscard]] bool must_be_first(const message_head& head) const;
    /// Writes a part of an answer, or queues it behind the answers before it.
    void deliver(pending_request& request, std::string_view text);
    void end_answer(pending_request& request);
    /// Writes the answers that are due, and ends the requests whose answers are complete.
    void advance();
    void reject(unsigned status);
    /// Closes the connection once the caller has read all output and closes its side, since a close
    /// with unread bytes resets the connection. Discards what the caller still sends.
    void start_closing();
    void cancel_requests();
    /// Removes the first request; it may be on the call stack, so it is destroyed later.
    void remove_first();
    void on_caller_left();
    /// Resets the connection, since an orderly close would complete an answer without a length.
    void abort();
    void close();
    /// Runs a member function after the current handler, unless the session is deleted before.
    void defer(void (caller_session::*step)());

    router_core& core_;
    std::unique_ptr<stream> connection_;
    std::function<void(caller_session*)> on_closed_;
    bool is_forwarding_;  ///< See the constructor.
    std::unique_ptr<message_parser> parser_;
    std::vector<std::unique_ptr<pending_request>> requests_;  ///< In the order of their arrival.
    std::string input_;
    std::vector<arrival> arrivals_;  ///< Of the bytes in `input_`.
    steady::time_point last_active_ = steady::now();
    bool is_request_read_ = false;  ///< `parser_` has read a whole request.
    bool ends_with_last_ = false;   ///< No request is read after the last one in `requests_`.
    bool is_closing_ = false;       ///< No answer follows those that were written.
    bool has_caller_finished_ =
        false;                     ///< The caller has closed its side while answers are queued.
    steady::time_point close_at_;  ///< While closing: when to close even if the caller does not.
    bool is_closed_ = false;
    bool is_parsing_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mimosavalve::gateway
