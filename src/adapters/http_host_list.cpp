#include "mimosavalve/adapters/http_host_list.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "http_exchange.hpp"
#include "mimosavalve/adapters/host_json.hpp"
#include "mimosavalve/adapters/http_message.hpp"
#include "mimosavalve/core/error.hpp"

namespace mimosavalve::adapters {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace detail {

struct http_host_list_state {
    http_host_list_state(asio::io_context& io, const std::string& address)
        : context(io), endpoint(parse_endpoint(address)) {}

    asio::io_context& context;
    std::optional<asio::ip::tcp::endpoint> endpoint;
    bool closed = false;
};

namespace {

using state_pointer = std::shared_ptr<http_host_list_state>;
using host_handler = ports::host_list::handler;

std::error_code fetch(http_host_list_state& state, steady_time deadline, http_response& response,
                      const asio::yield_context& yield) {
    if (!state.endpoint) {
        return errc::peer_unreachable;
    }
    http_request request(http::verb::get, "/hosts", 11);
    request.set(http::field::host, "hosts");
    const auto error =
        exchange_once(state.context, *state.endpoint, request, deadline, response, yield);
    const auto refused = !error && response.result() != http::status::ok;
    return error == errc::target_unreachable || refused ? errc::peer_unreachable : error;
}

void deliver(const http_host_list_state& state, std::error_code error, const http_response& answer,
             const host_handler& done) {
    if (state.closed) {
        return;
    }
    if (error) {
        done(error, {});
        return;
    }
    auto hosts = decode_hosts(answer.body());
    if (!hosts) {
        done(errc::malformed_message, {});
        return;
    }
    done({}, std::move(*hosts));
}

void read(const state_pointer& state, steady_time deadline, const host_handler& done) {
    asio::post(state->context, [state, deadline, done] {
        asio::spawn(state->context, [state, deadline, done](const asio::yield_context& yield) {
            http_response response;
            const auto error = fetch(*state, deadline, response, yield);
            // The answer is decoded on the thread's own stack, since a coroutine's is small.
            asio::post(state->context, [state, done, error, answer = std::move(response)] {
                deliver(*state, error, answer, done);
            });
        });
    });
}

}  // namespace

}  // namespace detail

http_host_list::http_host_list(asio::io_context& context, const std::string& address)
    : state_(std::make_shared<detail::http_host_list_state>(context, address)) {}

http_host_list::~http_host_list() {
    state_->closed = true;
}

ports::host_list http_host_list::port() const {
    return {[state = state_](steady_time deadline, const detail::host_handler& done) {
        detail::read(state, deadline, done);
    }};
}

}  // namespace mimosavalve::adapters
