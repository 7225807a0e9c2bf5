#pragma once

#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace mimosavalve::load::testing {

namespace http = boost::beast::http;

using request_type = http::request<http::string_body>;
using answer_type = http::response<http::string_body>;

/// A router that answers by a script, one connection at a time, and keeps what it received.
class scripted_router {
public:
    /// No answer closes the connection.
    using script = std::function<std::optional<answer_type>(const request_type&)>;

    explicit scripted_router(script answers)
        : answers_(std::move(answers)),
          acceptor_(context_, {boost::asio::ip::address_v4::loopback(), 0}),
          thread_([this] { serve(); }) {}
    ~scripted_router() {
        // Ends a waiting accept, which closing from another thread would not.
        ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
        thread_.join();
    }
    scripted_router(const scripted_router&) = delete;
    scripted_router& operator=(const scripted_router&) = delete;

    [[nodiscard]] std::string address() const {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    /// Only after the load has ended.
    [[nodiscard]] const std::vector<request_type>& received() const { return received_; }

private:
    void serve() {
        for (;;) {
            boost::asio::ip::tcp::socket socket(context_);
            boost::system::error_code error;
            acceptor_.accept(socket, error);
            if (error) {
                return;
            }
            serve_connection(socket);
        }
    }

    void serve_connection(boost::asio::ip::tcp::socket& socket) {
        boost::beast::flat_buffer buffer;
        for (;;) {
            request_type request;
            boost::system::error_code error;
            http::read(socket, buffer, request, error);
            if (error) {
                return;
            }
            received_.push_back(request);
            auto answer = answers_(request);
            if (!answer) {
                return;
            }
            answer->prepare_payload();
            http::write(socket, *answer, error);
        }
    }

    script answers_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<request_type> received_;
    std::thread thread_;
};

inline answer_type answer_to(const request_type& request, http::status status,
                             const std::string& verdict, const std::string& body) {
    answer_type answer(status, 11);
    answer.set("Request-Id", std::string(request["Request-Id"]));
    answer.set("Mimosavalve-Verdict", verdict);
    answer.body() = body;
    return answer;
}

}  // namespace mimosavalve::load::testing
