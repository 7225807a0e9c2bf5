#pragma once

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <utility>

#include "mimosavalve/adapters/http_message.hpp"
#include "mimosavalve/core/types.hpp"

// Both ends of a connection run on the one context of a test, so a test needs no threads.
namespace loopback {

using namespace std::chrono_literals;

inline mimosavalve::steady_time in(std::chrono::milliseconds time) {
    return std::chrono::steady_clock::now() + time;
}

/// Runs the context until the condition holds; false when it does not within 10 s.
template <class Condition>
bool run_until(boost::asio::io_context& context, Condition condition) {
    const auto limit = in(10s);
    while (!condition()) {
        context.restart();
        if (context.run_one_until(limit) == 0) {
            return condition();
        }
    }
    return true;
}

/// What a callback delivered.
template <class Value>
struct outcome {
    std::error_code error;
    Value value{};
};

/// Starts an operation that ends with a callback (error, value) and runs until then.
template <class Value, class Start>
outcome<Value> await(boost::asio::io_context& context, Start start) {
    auto result = std::make_shared<std::optional<outcome<Value>>>();
    start([result](std::error_code error, Value value) {
        *result = outcome<Value>{error, std::move(value)};
    });
    if (!run_until(context, [&] { return result->has_value(); })) {
        return {std::make_error_code(std::errc::timed_out), {}};
    }
    return **result;
}

template <class Start>
std::error_code await_done(boost::asio::io_context& context, Start start) {
    auto result = std::make_shared<std::optional<std::error_code>>();
    start([result](std::error_code error) { *result = error; });
    if (!run_until(context, [&] { return result->has_value(); })) {
        return std::make_error_code(std::errc::timed_out);
    }
    return **result;
}

/// Sends bytes on a new connection and returns all that arrives until the other side closes.
inline std::string send_raw(boost::asio::io_context& context, const std::string& address,
                            const std::string& bytes, bool end_of_input = false) {
    auto answer = std::make_shared<std::optional<std::string>>();
    boost::asio::spawn(context, [&](const boost::asio::yield_context& yield) {
        using tcp = boost::asio::ip::tcp;
        boost::system::error_code error;
        tcp::socket socket(context);
        std::string received;
        socket.async_connect(*mimosavalve::adapters::parse_endpoint(address), yield[error]);
        boost::asio::async_write(socket, boost::asio::buffer(bytes), yield[error]);
        if (end_of_input) {
            socket.shutdown(tcp::socket::shutdown_send, error);
        }
        boost::asio::async_read(socket, boost::asio::dynamic_buffer(received), yield[error]);
        *answer = received;
    });
    run_until(context, [&] { return answer->has_value(); });
    return answer->value_or("no end of the connection within 10 s");
}

}  // namespace loopback
