#pragma once

#include <boost/asio/io_context.hpp>
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

/// A small HTTP call with a body that fits into memory.
struct call {
    std::string method = "GET";
    std::string target;
    std::string content_type;  ///< Empty: no body.
    std::string body;
    std::vector<header_field> fields;  ///< Besides Host, length and type.
    std::string host;                  ///< Value of Host; empty: the endpoint.
};

struct call_answer {
    message_head head;
    std::string body;
};

using call_deadline = std::chrono::steady_clock::time_point;

/// Makes small calls and keeps idle connections for the next ones. A connection whose call failed
/// is closed, since a late answer on it would belong to that call. Single-threaded.
class call_client {
public:
    /// On an error the call may have been carried out, except for errors of the connect, which are
    /// reported as `errc::target_unreachable`.
    using handler = std::function<void(std::error_code, call_answer)>;

    /// At most `most_connections` calls to one endpoint run at a time; the others queue.
    explicit call_client(boost::asio::io_context& context, std::size_t most_connections = 8);
    ~call_client();
    call_client(const call_client&) = delete;
    call_client& operator=(const call_client&) = delete;

    void send(const tcp::endpoint& to, call what, call_deadline deadline, handler done);

private:
    struct exchange;
    void start(exchange& running, bool fresh_only);
    void begin(exchange& running, std::unique_ptr<stream> connection, bool reused);
    void read(exchange& running);
    void end(exchange& running, std::error_code error);
    void start_next(const tcp::endpoint& to);

    boost::asio::io_context& context_;
    std::size_t most_connections_;
    std::uint64_t next_number_ = 1;
    struct endpoint_use {
        std::size_t running = 0;
        std::deque<std::uint64_t> queued;  ///< Numbers of exchanges.
    };
    std::map<tcp::endpoint, endpoint_use> uses_;
    std::map<std::uint64_t, std::unique_ptr<exchange>> running_;
    struct idle_connection {
        std::unique_ptr<stream> connection;
        std::chrono::steady_clock::time_point since;
    };
    std::map<tcp::endpoint, std::vector<idle_connection>> idle_;
};

}  // namespace mimosavalve::gateway
