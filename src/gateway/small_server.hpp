#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "mimosavalve/gateway/http_message.hpp"
#include "mimosavalve/gateway/stream.hpp"

namespace mimosavalve::gateway {

/// Accepts connections on one address until it is destroyed.
class listener {
public:
    using handler = std::function<void(std::unique_ptr<stream>)>;

    /// Throws `std::system_error` when the address cannot be bound.
    listener(boost::asio::io_context& context, const tcp::endpoint& address, handler accepted);
    [[nodiscard]] tcp::endpoint address() const { return acceptor_.local_endpoint(); }

private:
    void accept();

    tcp::acceptor acceptor_;
    boost::asio::steady_timer pause_;
    handler accepted_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

struct small_answer {
    unsigned status = 200;
    std::string content_type = "text/plain";
    std::string body;
    std::vector<header_field> fields;  ///< Besides type and length.
};

/// Serves small calls whose bodies fit into memory: readiness, metrics, and our own processes.
class small_server {
public:
    using respond = std::function<void(small_answer)>;
    /// `respond` is called once, at any later time.
    using handler = std::function<void(const message_head&, std::string body, respond)>;

    small_server(boost::asio::io_context& context, const tcp::endpoint& address, handler handle);
    ~small_server();
    [[nodiscard]] tcp::endpoint address() const { return listener_->address(); }

private:
    struct session;
    void add(std::unique_ptr<stream> connection);
    void read(session& from);
    void answer(std::uint64_t number, const small_answer& what);
    void close(std::uint64_t number);

    boost::asio::io_context& context_;
    handler handle_;
    std::uint64_t next_number_ = 1;
    std::map<std::uint64_t, std::unique_ptr<session>> sessions_;
    std::unique_ptr<listener> listener_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mimosavalve::gateway
