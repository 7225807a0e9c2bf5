#include "mimosavalve/config/names.hpp"

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <charconv>
#include <cstdint>
#include <string>

namespace mimosavalve::config {

namespace detail {

constexpr std::size_t longest_name = 64;

bool is_port(std::string_view text) {
    std::uint16_t port = 0;
    const auto* end = text.data() + text.size();
    const auto [rest, failure] = std::from_chars(text.data(), end, port);
    return failure == std::errc{} && rest == end;
}

}  // namespace detail

bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= detail::longest_name && text.front() != '-' &&
           text.front() != '.' && std::all_of(text.begin(), text.end(), [](unsigned char letter) {
               return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
                      (letter >= '0' && letter <= '9') || letter == '-' || letter == '_' ||
                      letter == '.';
           });
}

bool is_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    boost::system::error_code error;
    boost::asio::ip::make_address_v4(std::string(text.substr(0, colon)), error);
    return !error && detail::is_port(text.substr(colon + 1));
}

}  // namespace mimosavalve::config
