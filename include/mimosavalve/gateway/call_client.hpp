#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "mimosavalve/gateway/http_message.hpp"
#include "mimosavalve/gateway/stream.hpp"

namespace mimosavalve::gateway {

/// HTTP request whose body fits into memory.
struct call {
    std::string method = "GET";
    std::string request_target;  ///< Path and query.
    std::string content_type;    ///< Empty if there is no body.
    std::string body;
    std::vector<header_field> fields;  ///< Fields besides Host, Content-Length and Content-Type.
    std::string host;                  ///< Value of Host; the endpoint if empty.
    /// An answer that is arriving when the call's deadline passes may arrive until then.
    std::chrono::steady_clock::time_point transfer_deadline{};
    /// Use a connection of its own: on a kept one, a faulty server's copy of an earlier answer
    /// could be taken for the answer to this call.
    bool own_connection = false;
};

struct call_answer {
    message_head head;
    std::string body;
    std::chrono::milliseconds transfer_time{0};  ///< From its first bytes to its end.
};

using call_deadline = std::chrono::steady_clock::time_point;

/// Sends HTTP requests and keeps idle connections for later ones. A connection whose call failed is
/// closed, since a late answer on it would belong to the failed call. Single-threaded.
class call_client {
public:
    /// After an error the server may have executed the call, except after
    /// `errc::target_unreachable`, which reports that the call was never sent.
    using handler = std::function<void(std::error_code, call_answer)>;

    /// At most `max_connections` calls to one endpoint run at a time; further calls are queued. A
    /// call whose answer has a body of more than `max_answer_bytes` fails with
    /// `errc::malformed_message`.
    explicit call_client(boost::asio::io_context& context, std::size_t max_connections = 8,
                         std::uint64_t max_answer_bytes = 16ULL << 20U);
    ~call_client();
    call_client(const call_client&) = delete;
    call_client& operator=(const call_client&) = delete;

    void send(const tcp::endpoint& to, call request, call_deadline deadline, handler done);

    /// Runs the handlers of this client.
    [[nodiscard]] boost::asio::io_context::executor_type executor() const {
        return context_.get_executor();
    }

private:
    struct pending_call;
    void open_connection(pending_call& pending, bool fresh_only);
    void send_request(pending_call& pending, std::unique_ptr<stream> connection, bool reused);
    void read(pending_call& pending);
    void arm_timer(pending_call& pending, call_deadline until);
    void finish(pending_call& pending, std::error_code error);
    void start_next_queued(const tcp::endpoint& to);

    boost::asio::io_context& context_;
    std::size_t max_connections_;
    std::uint64_t max_answer_bytes_;
    std::uint64_t next_number_ = 1;
    struct endpoint_state {
        std::size_t active_calls = 0;
        std::deque<std::uint64_t> queued;  ///< Numbers of the calls that wait for a connection.
    };
    std::map<tcp::endpoint, endpoint_state> endpoints_;
    std::map<std::uint64_t, std::unique_ptr<pending_call>> pending_calls_;
    struct idle_connection {
        std::unique_ptr<stream> connection;
        std::chrono::steady_clock::time_point since;
    };
    std::map<tcp::endpoint, std::vector<idle_connection>> idle_connections_;
};

}  // namespace mimosavalve::gateway
