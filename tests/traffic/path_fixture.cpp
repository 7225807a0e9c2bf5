#include "path_fixture.hpp"

#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <stdexcept>
#include <thread>

namespace mimosavalve::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

caller::caller(std::uint16_t port) : socket_(context_) {
    socket_.connect(tcp::endpoint(asio::ip::address_v4::loopback(), port));
    socket_.set_option(tcp::no_delay(true));
    const timeval limit{10, 0};
    ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
}

void caller::send(const std::string& text) {
    asio::write(socket_, asio::buffer(text));
}

boost::system::error_code caller::try_send(std::string_view bytes) {
    boost::system::error_code error;
    asio::write(socket_, asio::buffer(bytes), error);
    return error;
}

boost::system::error_code caller::try_receive(http_answer& answer, bool head) {
    boost::system::error_code error;
    for (;;) {
        http::response_parser<http::string_body> parser;
        parser.body_limit(UINT64_MAX);
        parser.skip(head);
        http::read(socket_, buffer_, parser, error);
        const bool interim = !error && parser.get().result_int() < 200;
        if (!interim) {
            answer = parser.release();
            return error;
        }
    }
}

http_answer caller::receive(bool head) {
    http_answer answer;
    if (const auto error = try_receive(answer, head)) {
        throw std::runtime_error("no complete answer: " + error.message());
    }
    return answer;
}

http_answer caller::ask(const std::string& text) {
    send(text);
    return receive();
}

bool caller::is_ended() {
    char byte = 0;
    boost::system::error_code error;
    socket_.read_some(asio::buffer(&byte, 1), error);
    return error && error != asio::error::would_block && error != asio::error::try_again;
}

void caller::close() {
    socket_.close();
}

std::string get(const std::string& path, const std::string& fields) {
    return "GET " + path + " HTTP/1.1\r\nHost: router\r\n" + fields + "\r\n";
}

std::string post(const std::string& path, const std::string& body, const std::string& fields) {
    return "POST " + path +
           " HTTP/1.1\r\nHost: router\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
           fields + "\r\n" + body;
}

std::string field(const http_answer& answer, const std::string& name) {
    return std::string(answer[name]);
}

path_fixture::path_fixture(const fake_target::handler& status_answer,
                           const fake_target::handler& orders_answer, std::uint32_t threads)
    : status(status_answer), orders(orders_answer ? orders_answer : status_answer) {
    fleet.target("status-1").address = status.address();
    fleet.target("orders-1").address = orders.address();
    fleet.config.drained_targets = {"orders-2"};
    adapters::front_end_settings settings;
    settings.threads = threads;
    adapters::front_end_hooks hooks;
    hooks.claim = [this](adapters::claim_request request,
                         adapters::front_end_hooks::claim_handler handler) {
        if (claim) {
            claim(std::move(request), std::move(handler));
        } else {
            handler(adapters::claim_result::granted);
        }
    };
    router = std::make_unique<adapters::http_front_end>(settings, hooks);
    if (const auto error = router->start()) {
        throw std::system_error(error);
    }
    publish();
}

path_fixture::~path_fixture() {
    router->stop(std::chrono::steady_clock::now());
}

void path_fixture::publish() {
    router->publish(fleet.snapshot());
}

http_answer path_fixture::ask(const std::string& text) const {
    caller client(router->port());
    return client.ask(text);
}

bool eventually(const std::function<bool()>& condition) {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > limit) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return true;
}

}  // namespace mimosavalve::test
