#include "fake_target.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <memory>

namespace mimosavalve::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::uint64_t clock_offset_ms = 5'000'000;
constexpr std::size_t max_recorded_body_bytes = 65536;

}  // namespace

fake_target::fake_target(handler answer)
    : answer_(std::move(answer)),
      acceptor_(context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      endpoint_(acceptor_.local_endpoint()),
      started_(std::chrono::steady_clock::now()) {
    accept();
    thread_ = std::thread([this] { context_.run(); });
}

fake_target::~fake_target() {
    crash();
    thread_.join();
}

std::string fake_target::address() const {
    return "127.0.0.1:" + std::to_string(endpoint_.port());
}

std::uint64_t fake_target::clock_ms() const {
    const auto elapsed = std::chrono::steady_clock::now() - started_;
    return clock_offset_ms +
           static_cast<std::uint64_t>(
               std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count());
}

void fake_target::crash() {
    asio::post(context_, [this] {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        for (auto* socket : sockets_) {
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    });
}

std::vector<fake_target::request> fake_target::requests() const {
    const std::lock_guard lock(mutex_);
    return requests_;
}

void fake_target::accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket accepted) {
        if (error) {
            return;
        }
        ++connections;
        asio::spawn(context_,
                    [this, socket = std::move(accepted)](const asio::yield_context& yield) mutable {
                        sockets_.push_back(&socket);
                        serve(socket, yield);
                        std::erase(sockets_, &socket);
                    });
        accept();
    });
}

void fake_target::serve(tcp::socket& socket, const asio::yield_context& yield) {
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    while (answer_one(socket, yield)) {
    }
}

std::string fake_target::text_of(const target_reply& reply, const request& from) const {
    if (!reply.raw.empty()) {
        return reply.raw;
    }
    const auto id = reply.request_id.empty() ? std::string(from["Request-Id"]) : reply.request_id;
    std::string text = "HTTP/1.1 " + std::to_string(reply.status) + " Status\r\nRequest-Id: " + id +
                       "\r\nTarget-Clock: " + std::to_string(clock_ms()) +
                       "\r\nTarget-Instance: " + std::to_string(instance) + "\r\n" +
                       reply.extra_fields;
    const bool has_body = from.method() != http::verb::head;
    if (reply.chunked) {
        text += "Transfer-Encoding: chunked\r\n\r\n";
        std::ostringstream size;
        size << std::hex << reply.body.size();
        text += has_body ? size.str() + "\r\n" + reply.body + "\r\n0\r\n\r\n" : "";
        return text;
    }
    text += "Content-Length: " + std::to_string(reply.body.size()) + "\r\n\r\n";
    text += has_body ? reply.body : "";
    return text;
}

bool fake_target::answer_one(tcp::socket& socket, const asio::yield_context& yield) {
    boost::system::error_code error;
    boost::beast::flat_buffer buffer;
    http::request_parser<http::string_body> parser;
    parser.body_limit(UINT64_MAX);
    http::async_read_header(socket, buffer, parser, yield[error]);
    if (error) {
        return false;
    }
    const bool is_probe = parser.get().target() == "/probe";
    if (is_probe) {
        ++probes;
        if (!answers_probes) {
            return false;
        }
        target_reply probe_reply;
        probe_reply.body = R"({"clock_ms":)" + std::to_string(clock_ms()) + R"(,"instance":)" +
                           std::to_string(instance) + "}";
        asio::async_write(socket, asio::buffer(text_of(probe_reply, parser.get())), yield[error]);
        return !error;
    }
    if (reads_bodies) {
        http::async_read(socket, buffer, parser, yield[error]);
        if (error) {
            ++closed_early;
            return false;
        }
    }
    const auto reply = answer_(parser.get());
    body_bytes += parser.get().body().size();
    {
        const std::lock_guard lock(mutex_);
        requests_.push_back(parser.get());
        if (requests_.back().body().size() > max_recorded_body_bytes) {
            requests_.back().body().clear();
        }
    }
    max_running = std::max(max_running.load(), ++running);
    if (reply.delay.count() > 0) {
        asio::steady_timer timer(context_, reply.delay);
        timer.async_wait(yield[error]);
    }
    --running;
    if (reply.silent) {
        char byte = 0;
        socket.async_read_some(asio::buffer(&byte, 1), yield[error]);
        ++closed_early;
        return false;
    }
    auto text = text_of(reply, parser.get());
    if (reply.cut_after_bytes > 0) {
        text.resize(std::min(text.size(), reply.cut_after_bytes));
    }
    asio::async_write(socket, asio::buffer(text), yield[error]);
    if (!reads_bodies) {
        socket.shutdown(tcp::socket::shutdown_send, error);
        char bytes[4096];
        while (!error) {
            socket.async_read_some(asio::buffer(bytes), yield[error]);
        }
    }
    return !error && reads_bodies && reply.cut_after_bytes == 0 && !reply.close_after;
}

}  // namespace mimosavalve::test
