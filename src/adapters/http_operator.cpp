#include "mimosavalve/adapters/http_operator.hpp"

#include <boost/beast/http.hpp>

#include "http_exchange.hpp"

namespace mimosavalve::adapters {

namespace detail {

using command::exchange_status;
using command::outcome;

// `show routers` of the largest fleet is below this.
constexpr std::uint64_t largest_command_answer = std::uint64_t{64} << 20U;

http_request command_request(const std::string& router, const std::string& text,
                             command::output_format format) {
    namespace http = boost::beast::http;
    constexpr unsigned http_1_1 = 11;
    http_request out{http::verb::post, "/command", http_1_1};
    out.set(http::field::host, router);
    out.set("Output", format == command::output_format::json ? "json" : "table");
    out.keep_alive(false);
    out.body() = text;
    return out;
}

// An answer without an outcome comes from something that is no router.
command::exchange read_outcome(const http_response& response) {
    const auto how = response["Command-Outcome"];
    if (how.empty()) {
        return {exchange_status::no_answer, outcome::may_have_run,
                "the answer names no outcome (HTTP status " +
                    std::to_string(response.result_int()) + ")"};
    }
    return {exchange_status::answered, command::outcome_of({how.data(), how.size()}),
            response.body()};
}

command::exchange run_command(boost::asio::io_context& context,
                              const boost::asio::ip::tcp::endpoint& router, http_request& request,
                              steady_time deadline, const boost::asio::yield_context& yield) {
    http_connection connection(context);
    if (const auto error = connect(connection, router, deadline, yield)) {
        return {exchange_status::not_sent, outcome::may_have_run, error.message()};
    }
    http_response response;
    if (const auto error =
            exchange(connection, request, deadline, response, yield, largest_command_answer)) {
        return {exchange_status::no_answer, outcome::may_have_run, error.message()};
    }
    return read_outcome(response);
}

}  // namespace detail

command::exchange send_command(const std::string& router, const std::string& text,
                               command::output_format format, std::chrono::milliseconds timeout) {
    const auto endpoint = parse_endpoint(router);
    if (!endpoint) {
        return {command::exchange_status::not_sent, command::outcome::may_have_run,
                "'" + router + "' is not an address and port"};
    }
    boost::asio::io_context context;
    auto request = detail::command_request(router, text, format);
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    command::exchange out;
    boost::asio::spawn(context, [&](const boost::asio::yield_context& yield) {
        out = detail::run_command(context, *endpoint, request, deadline, yield);
    });
    context.run();
    return out;
}

}  // namespace mimosavalve::adapters
