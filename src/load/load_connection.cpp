#include "load_connection.hpp"

#include <array>

namespace mimosavalve::load {

namespace detail {

bool is_open(load_connection& connection) {
    auto& socket = connection.stream.socket();
    boost::system::error_code error;
    socket.non_blocking(true, error);
    std::array<char, 1> byte{};
    socket.receive(boost::asio::buffer(byte), boost::asio::socket_base::message_peek, error);
    return error == boost::asio::error::would_block;
}

}  // namespace detail

std::unique_ptr<load_connection> connection_pool::take(const std::string& address) {
    auto& idle = idle_[address];
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (detail::is_open(*connection)) {
            return connection;
        }
    }
    return nullptr;
}

void connection_pool::give(const std::string& address,
                           std::unique_ptr<load_connection> connection) {
    idle_[address].push_back(std::move(connection));
}

boost::asio::ip::tcp::endpoint endpoint_of(const std::string& address) {
    const auto colon = address.rfind(':');
    const auto port = std::stoul(address.substr(colon + 1));
    return {boost::asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(port)};
}

}  // namespace mimosavalve::load
