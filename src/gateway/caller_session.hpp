#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "exchange.hpp"
#include "mimosavalve/gateway/http_message.hpp"
#include "mimosavalve/gateway/stream.hpp"
#include "router_core.hpp"

namespace mimosavalve::gateway {

/// Connection of a caller: reads requests one after the other and writes their answers.
class caller_session {
public:
    using steady = std::chrono::steady_clock;

    /// `on_closed` is called once, after which the owner deletes the session, but not within that
    /// call.
    caller_session(router_core& core, std::unique_ptr<stream> connection,
                   std::function<void(caller_session*)> on_closed);
    ~caller_session();

    /// Closes the connection if it has been idle for too long, or its header is not complete in
    /// time.
    void check_time(steady::time_point now);
    /// Closes the connection unless it carries a request, or one has arrived.
    void close_if_idle();
    /// Gives the final answer to the current request, since the process ends.
    void end_with_process();
    [[nodiscard]] bool is_busy() const { return exchange_ != nullptr || !input_.empty(); }

private:
    void read();
    void parse_input();
    void start_parser();
    void begin_exchange(message_head head);
    void reject(unsigned status);
    /// Closes the connection once the caller has read all output and closes its side, since a close
    /// with unread bytes resets the connection. Discards what the caller still sends.
    void start_closing();
    void end_exchange();
    void on_caller_left();
    /// Resets the connection, since an orderly close would complete an answer without a length.
    void abort();
    void close();
    /// Runs a member function after the current handler, unless the session is deleted before.
    void defer(void (caller_session::*step)());

    router_core& core_;
    std::unique_ptr<stream> connection_;
    std::function<void(caller_session*)> on_closed_;
    std::unique_ptr<message_parser> parser_;
    std::unique_ptr<exchange> exchange_;
    std::string input_;
    steady::time_point last_active_ = steady::now();
    bool answered_ = false;  ///< The answer was written; the rest of the request body is discarded.
    bool is_request_read_ = false;  ///< The whole request was read.
    bool is_closing_ = false;       ///< No answer follows those that were written.
    bool has_caller_finished_ =
        false;                     ///< The caller has closed its side while answers are queued.
    steady::time_point close_at_;  ///< While closing: when to close even if the caller does not.
    bool is_closed_ = false;
    bool is_parsing_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mimosavalve::gateway
