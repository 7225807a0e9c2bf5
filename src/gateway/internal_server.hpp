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

    /// Throws `std::system_error` if the address cannot be bound.
    listener(boost::asio::io_context& context, const tcp::endpoint& address, handler on_accepted);
    [[nodiscard]] tcp::endpoint address() const { return acceptor_.local_endpoint(); }

private:
    void accept();
    void accept_waiting();

    tcp::acceptor acceptor_;
    boost::asio::steady_timer retry_timer_;
    handler on_accepted_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

struct internal_answer {
    unsigned status = 200;
    std::string content_type = "text/plain";
    std::string body;
    std::vector<header_field> fields;  ///< Fields besides Content-Type and Content-Length.
};

/// Serves HTTP requests whose bodies fit into memory: readiness checks, metrics and the calls of
/// the fleet's other routers.
class internal_server {
public:
    using respond = std::function<void(internal_answer)>;
    /// Calls `respond` once, at any time.
    using handler = std::function<void(const message_head&, std::string body, respond)>;

    /// `on_malformed` is called for each connection that is closed because what it sent is no
    /// request; null: not at all.
    internal_server(boost::asio::io_context& context, const tcp::endpoint& address, handler handle,
                    std::function<void()> on_malformed = nullptr);
    ~internal_server();
    [[nodiscard]] tcp::endpoint address() const { return listener_->address(); }

private:
    struct session;
    void add_session(std::unique_ptr<stream> connection);
    void read(session& from);
    void answer(std::uint64_t number, const internal_answer& content);
    void close(std::uint64_t number);

    boost::asio::io_context& context_;
    handler handle_;
    std::function<void()> on_malformed_;
    std::uint64_t next_number_ = 1;
    std::map<std::uint64_t, std::unique_ptr<session>> sessions_;
    std::unique_ptr<listener> listener_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mimosavalve::gateway
