#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <string>

#include "fake_target.hpp"
#include "fleet_fixture.hpp"
#include "mimosavalve/adapters/http_front_end.hpp"
#include "mimosavalve/adapters/target_pool.hpp"

namespace mimosavalve::test {

using http_answer = boost::beast::http::response<boost::beast::http::string_body>;

/// A caller's connection with blocking operations, which time out after 10 s.
class caller {
public:
    explicit caller(std::uint16_t port);

    void send(const std::string& text);
    /// Sends bytes that the router may stop reading; returns the error of the write.
    boost::system::error_code try_send(std::string_view bytes);
    /// Reads one answer. `head`: the answer is to a HEAD request and has no body.
    http_answer receive(bool head = false);
    boost::system::error_code try_receive(http_answer& answer, bool head = false);
    /// Sends and reads one answer.
    http_answer ask(const std::string& text);
    /// Whether the router closes the connection without sending more bytes.
    bool is_ended();
    void close();

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
};

/// Text of a "GET <path>" request; `fields` are further header lines, each with CRLF.
std::string get(const std::string& path, const std::string& fields = {});
std::string post(const std::string& path, const std::string& body, const std::string& fields = {});
std::string field(const http_answer& answer, const std::string& name);

/// Runs the router's HTTP front end between callers and the targets "status-1" and "orders-1".
struct path_fixture {
    explicit path_fixture(const fake_target::handler& status,
                          const fake_target::handler& orders = {}, std::uint32_t threads = 1);
    ~path_fixture();

    void publish();
    [[nodiscard]] http_answer ask(const std::string& text) const;

    fleet_fixture fleet;
    fake_target status;
    fake_target orders;
    std::function<void(adapters::claim_request, adapters::front_end_hooks::claim_handler)> claim;
    std::unique_ptr<adapters::http_front_end> router;
};

/// Polls until the condition holds, for at most 5 s.
bool eventually(const std::function<bool()>& condition);

}  // namespace mimosavalve::test
