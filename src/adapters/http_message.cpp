#include "mimosavalve/adapters/http_message.hpp"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>
#include <sstream>
#include <utility>

namespace mimosavalve::adapters {

http_response make_response(boost::beast::http::status status, std::string body,
                            std::string_view content_type) {
    http_response response;
    response.result(status);
    if (!body.empty()) {
        response.set(boost::beast::http::field::content_type,
                     {content_type.data(), content_type.size()});
    }
    response.body() = std::move(body);
    return response;
}

std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(std::string(host), error);
    const auto port_text = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto* const end = port_text.data() + port_text.size();
    const auto parsed = std::from_chars(port_text.data(), end, port);
    if (error || parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(address, port);
}

std::string to_string(const boost::asio::ip::tcp::endpoint& endpoint) {
    std::ostringstream text;
    text << endpoint;
    return text.str();
}

}  // namespace mimosavalve::adapters
