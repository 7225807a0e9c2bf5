#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace mimosavalve::adapters {

/// Messages with a body that is held whole; only for control traffic, never for callers' uploads.
using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;

/// A response with a body; the server adds length, version and connection headers.
http_response make_response(boost::beast::http::status status, std::string body = {},
                            std::string_view content_type = "text/plain");

/// Reads "ip:port" with an IP number; empty when the text is anything else.
std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

/// Reverse of `parse_endpoint`.
std::string to_string(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace mimosavalve::adapters
