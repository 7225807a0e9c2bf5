#include "mimosavalve/command/http_exchange.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace mimosavalve::command {

namespace detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

// `show routers` of the largest fleet is below this.
constexpr std::uint64_t largest_answer = std::uint64_t{64} << 20U;

// The caller has checked that `router` is an endpoint.
asio::ip::tcp::endpoint endpoint_of(const std::string& router) {
    const auto colon = router.rfind(':');
    return {asio::ip::make_address_v4(router.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoul(router.substr(colon + 1)))};
}

http::request<http::string_body> request_of(const std::string& router, const std::string& text,
                                            output_format format) {
    constexpr unsigned http_1_1 = 11;
    http::request<http::string_body> out{http::verb::post, "/command", http_1_1};
    out.set(http::field::host, router);
    out.set("Output", format == output_format::json ? "json" : "table");
    out.keep_alive(false);
    out.body() = text;
    out.prepare_payload();
    return out;
}

exchange failed(exchange_status status, const beast::error_code& error) {
    return {status, outcome::may_have_run, error.message()};
}

// An answer without an outcome comes from something that is no router.
exchange read_answer(const http::response<http::string_body>& response) {
    const auto how = response["Command-Outcome"];
    if (how.empty()) {
        return {exchange_status::no_answer, outcome::may_have_run,
                "the answer names no outcome (HTTP status " +
                    std::to_string(response.result_int()) + ")"};
    }
    return {exchange_status::answered, outcome_of({how.data(), how.size()}), response.body()};
}

exchange run(asio::io_context& context, const std::string& router,
             const http::request<http::string_body>& request, std::chrono::milliseconds timeout,
             const asio::yield_context& yield) {
    beast::error_code error;
    beast::tcp_stream stream(context);
    stream.expires_after(timeout);
    stream.async_connect(endpoint_of(router), yield[error]);
    if (error) {
        return failed(exchange_status::not_sent, error);
    }
    http::async_write(stream, request, yield[error]);
    if (error) {
        return failed(exchange_status::no_answer, error);
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(largest_answer);
    http::async_read(stream, buffer, parser, yield[error]);
    if (error) {
        return failed(exchange_status::no_answer, error);
    }
    return read_answer(parser.get());
}

}  // namespace detail

exchange http_exchange(const std::string& router, const std::string& text, output_format format,
                       std::chrono::milliseconds timeout) {
    boost::asio::io_context context;
    const auto request = detail::request_of(router, text, format);
    exchange out;
    boost::asio::spawn(context, [&](const boost::asio::yield_context& yield) {
        out = detail::run(context, router, request, timeout, yield);
    });
    context.run();
    return out;
}

}  // namespace mimosavalve::command
