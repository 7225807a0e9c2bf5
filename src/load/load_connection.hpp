#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mimosavalve::load {

/// A connection to a router with the bytes that were read ahead.
struct load_connection {
    explicit load_connection(const boost::asio::any_io_executor& executor) : stream(executor) {}

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
};

/// Idle connections by address.
class connection_pool {
public:
    /// An idle connection that its router has not closed, or null.
    std::unique_ptr<load_connection> take(const std::string& address);
    void give(const std::string& address, std::unique_ptr<load_connection> connection);

private:
    std::map<std::string, std::vector<std::unique_ptr<load_connection>>> idle_;
};

/// "ip:port" as an endpoint; the text was checked with the settings.
boost::asio::ip::tcp::endpoint endpoint_of(const std::string& address);

}  // namespace mimosavalve::load
