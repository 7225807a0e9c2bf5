#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "../../src/gateway/lifetime.hpp"
#include "mimosavalve/gateway/http_message.hpp"
#include "mimosavalve/gateway/stream.hpp"

namespace mimosavalve::review {

/// One request of a client, as the client sees it.
struct client_request {
    std::string id;
    std::string path;
    std::string method;
    unsigned status = 0;  ///< 0: no complete answer.
    bool closed = false;  ///< The connection ended before a complete answer.
    bool on_kept_connection = false;
    bool has_signature = false;
    std::int64_t sent_ms = 0;
    std::int64_t ended_ms = 0;
};

/// Milliseconds since the start of the program.
std::int64_t now_ms();

/// Sends requests one after the other on one connection, which it keeps open. Opens another one
/// when that ends.
class kept_client {
public:
    struct options {
        gateway::tcp::endpoint address;
        std::string name;  ///< Begins the request ids.
        std::string method = "POST";
        std::string path = "/orders/x";
        std::uint32_t key = 0;
        std::int64_t deadline_ms = 3000;
        std::int64_t pause_ms = 20;  ///< Between an answer and the next request.
    };

    kept_client(boost::asio::io_context& context, options chosen,
                std::vector<client_request>& requests);

    /// Sends no further request after the one that is running.
    void stop() { stopped_ = true; }
    [[nodiscard]] bool is_waiting() const { return waiting_; }

private:
    void open();
    void send_next();
    void read();
    void end_request(bool closed);
    void reopen_later();

    boost::asio::io_context& context_;
    options options_;
    std::vector<client_request>& requests_;
    std::unique_ptr<gateway::connector> opening_;
    std::unique_ptr<gateway::stream> connection_;
    std::unique_ptr<gateway::message_parser> parser_;
    gateway::message_head answer_;
    std::string input_;
    std::size_t current_ = 0;
    std::uint32_t next_number_ = 1;
    std::uint32_t sent_on_connection_ = 0;
    bool waiting_ = false;
    bool is_ending_ = false;  ///< The connection has ended; another one is opened soon.
    bool stopped_ = false;
    gateway::lifetime lifetime_;
};

}  // namespace mimosavalve::review
