#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <system_error>

#include "mimosavalve/adapters/http_message.hpp"
#include "mimosavalve/core/types.hpp"

namespace mimosavalve::adapters::detail {

/// Client side of a connection that carries one request at a time.
struct http_connection {
    explicit http_connection(boost::asio::io_context& context) : stream(context) {}

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    steady_time opened;
    steady_time idle_since;
    bool keep_alive = false;  ///< The last answer was whole and permits a further request.
};

/// `errc::target_unreachable`, or `errc::deadline_exceeded`.
std::error_code connect(http_connection& connection, const boost::asio::ip::tcp::endpoint& endpoint,
                        steady_time deadline, const boost::asio::yield_context& yield);

/// Room for the longest value of the store and for host lists of the two-year size.
inline constexpr std::uint64_t answer_limit_bytes = 8UL * 1024UL * 1024UL;

/// Sends a request and reads its whole answer, of at most `most_bytes`. `errc::malformed_message`
/// for an answer that is no HTTP, whose end is not marked, or that echoes another `Request-Id`;
/// `errc::deadline_exceeded`; `errc::target_unreachable` when the connection breaks. After any
/// error the connection has to be closed, since a late answer could still arrive on it.
std::error_code exchange(http_connection& connection, http_request& request, steady_time deadline,
                         http_response& response, const boost::asio::yield_context& yield,
                         std::uint64_t most_bytes = answer_limit_bytes);

/// Whether an idle connection is fresh, still open and has no unexpected input.
bool is_reusable(http_connection& connection, steady_time now);

/// Opens a connection for one exchange. Errors as of `connect` and `exchange`.
std::error_code exchange_once(boost::asio::io_context& context,
                              const boost::asio::ip::tcp::endpoint& endpoint, http_request& request,
                              steady_time deadline, http_response& response,
                              const boost::asio::yield_context& yield);

}  // namespace mimosavalve::adapters::detail
