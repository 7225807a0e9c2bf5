#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "exchange.hpp"
#include "mimosavalve/gateway/http_message.hpp"
#include "mimosavalve/gateway/stream.hpp"
#include "router_core.hpp"

namespace mimosavalve::gateway {

/// One caller's connection: reads requests one after the other and writes their answers.
class caller_session {
public:
    using steady = std::chrono::steady_clock;

    /// `closed` is called once, when the session may be deleted (not inside a call of its own).
    caller_session(router_core& core, std::unique_ptr<stream> connection,
                   std::function<void(caller_session*)> closed);
    ~caller_session();

    /// Closes the connection when it has been idle, or slow with a header, for too long.
    void check_time(steady::time_point now);
    /// Closes the connection if no request is on it.
    void close_if_idle();
    [[nodiscard]] bool is_busy() const { return exchange_ != nullptr || !input_.empty(); }

private:
    void read();
    void take_input();
    void new_parser();
    void begin_exchange(message_head head);
    void reject(unsigned status);
    void end_exchange();
    void caller_left();
    void close();
    /// Runs a member function after the running handler, unless the session is gone by then.
    void later(void (caller_session::*step)());

    router_core& core_;
    std::unique_ptr<stream> connection_;
    std::function<void(caller_session*)> closed_;
    std::unique_ptr<message_parser> parser_;
    std::unique_ptr<exchange> exchange_;
    std::string input_;
    steady::time_point active_ = steady::now();
    bool answered_ = false;      ///< The answer was written; the rest of the body is dropped.
    bool request_read_ = false;  ///< The whole request was read.
    bool closing_ = false;       ///< Close once everything is written.
    bool is_closed_ = false;
    bool in_parser_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mimosavalve::gateway
