#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>

#include "mimosavalve/adapters/http_message.hpp"

namespace mimosavalve::adapters {

/// Answers one request. May suspend through `yield`. Empty: the connection is closed without an
/// answer. An exception derived from `std::exception` is answered with 500.
using http_handler = std::function<std::optional<http_response>(const http_request&,
                                                                const boost::asio::yield_context&)>;

struct http_server_options {
    std::string address = "127.0.0.1:0";  ///< "ip:port"; port 0 lets the system choose.
    std::uint32_t header_limit_bytes = 16U * 1024U;
    std::uint64_t body_limit_bytes = std::uint64_t{1} << 20U;
    std::size_t max_connections = 1024;           ///< Further connections are closed at once.
    std::chrono::milliseconds header_time{5000};  ///< From a request's first byte.
    std::chrono::milliseconds body_time{30000};   ///< From the end of the header; also to write.
    std::chrono::milliseconds idle_time{60000};   ///< Between requests of a connection.
};

namespace detail {
struct http_server_state;
}

/// HTTP/1.1 server for small messages on the thread of one `io_context`: stand-ins and the admin
/// port. Answers malformed requests with 400, long headers with 431 and long bodies with 413, and
/// echoes `Request-Id`.
class http_server {
public:
    http_server(boost::asio::io_context& context, http_server_options options,
                http_handler handler);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Closes all connections at once.
    ~http_server();

    /// Binds and starts to accept. Errors of the system, or `errc::invalid_settings` for an address
    /// that is no "ip:port".
    std::error_code listen();

    /// Address bound by `listen`, with the port that the system chose.
    [[nodiscard]] std::string address() const;

    /// Stops accepting and closes idle connections. Running requests are finished and answered with
    /// `Connection: close`.
    void stop();

    /// Connections that are open now.
    [[nodiscard]] std::size_t connections() const;

private:
    std::shared_ptr<detail::http_server_state> state_;
};

}  // namespace mimosavalve::adapters
