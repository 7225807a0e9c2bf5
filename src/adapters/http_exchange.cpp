#include "http_exchange.hpp"

#include <array>
#include <boost/beast/http.hpp>
#include <chrono>
#include <utility>

#include "mimosavalve/core/error.hpp"

namespace mimosavalve::adapters::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::uint32_t header_limit_bytes = 16U * 1024U;
// Connections that are idle for longer may have gone silent unnoticed.
constexpr std::chrono::seconds longest_idle{2};
constexpr std::chrono::seconds longest_life{60};

bool echoes_other_id(const http_request& request, const http_response& response) {
    const auto sent = request.find("Request-Id");
    const auto echoed = response.find("Request-Id");
    return sent != request.end() && echoed != response.end() && sent->value() != echoed->value();
}

errc error_of(const error_code& error) {
    if (error == beast::error::timeout) {
        return errc::deadline_exceeded;
    }
    const auto from_parser =
        error.category() == http::make_error_code(http::error::bad_method).category();
    const auto cut = error == http::error::end_of_stream || error == http::error::partial_message;
    return from_parser && !cut ? errc::malformed_message : errc::target_unreachable;
}

bool has_input(tcp::socket& socket) {
    std::array<char, 1> byte{};
    error_code error;
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(byte), tcp::socket::message_peek, error);
    return error != asio::error::would_block;
}

}  // namespace

std::error_code connect(http_connection& connection, const tcp::endpoint& endpoint,
                        steady_time deadline, const asio::yield_context& yield) {
    error_code error;
    connection.stream.expires_at(deadline);
    connection.stream.async_connect(endpoint, yield[error]);
    if (error) {
        return error_of(error);
    }
    connection.stream.socket().set_option(tcp::no_delay(true), error);
    connection.opened = std::chrono::steady_clock::now();
    return {};
}

std::error_code exchange(http_connection& connection, http_request& request, steady_time deadline,
                         http_response& response, const asio::yield_context& yield,
                         std::uint64_t most_bytes) {
    error_code error;
    connection.keep_alive = false;
    request.prepare_payload();
    connection.stream.expires_at(deadline);
    http::async_write(connection.stream, request, yield[error]);
    if (error) {
        return error_of(error);
    }
    http::response_parser<http::string_body> parser;
    parser.header_limit(header_limit_bytes);
    parser.body_limit(most_bytes);
    http::async_read_header(connection.stream, connection.buffer, parser, yield[error]);
    if (error) {
        return error_of(error);
    }
    // The end of such an answer can't be told from a cut connection.
    if (parser.need_eof()) {
        return errc::malformed_message;
    }
    http::async_read(connection.stream, connection.buffer, parser, yield[error]);
    if (error) {
        return error_of(error);
    }
    response = parser.release();
    if (echoes_other_id(request, response)) {
        return errc::malformed_message;
    }
    connection.keep_alive = response.keep_alive() && connection.buffer.size() == 0;
    connection.idle_since = std::chrono::steady_clock::now();
    return {};
}

bool is_reusable(http_connection& connection, steady_time now) {
    return connection.keep_alive && now - connection.idle_since < longest_idle &&
           now - connection.opened < longest_life && !has_input(connection.stream.socket());
}

std::error_code exchange_once(asio::io_context& context, const tcp::endpoint& endpoint,
                              http_request& request, steady_time deadline, http_response& response,
                              const asio::yield_context& yield) {
    http_connection connection(context);
    request.keep_alive(false);
    auto error = connect(connection, endpoint, deadline, yield);
    if (!error) {
        error = exchange(connection, request, deadline, response, yield);
    }
    return error;
}

}  // namespace mimosavalve::adapters::detail
