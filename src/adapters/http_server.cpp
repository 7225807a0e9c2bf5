#include "mimosavalve/adapters/http_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <exception>
#include <set>
#include <utility>

#include "mimosavalve/core/error.hpp"

namespace mimosavalve::adapters {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace detail {

// JSON parsing and logging need more than the 64 KB that a coroutine has by default.
constexpr std::size_t coroutine_stack_bytes = 256UL * 1024UL;
constexpr std::chrono::milliseconds accept_retry_time{50};
constexpr std::chrono::milliseconds drain_time{2000};
constexpr std::size_t drain_limit_bytes = 8UL * 1024UL * 1024UL;
constexpr std::size_t read_piece_bytes = 4096;

struct http_session {
    explicit http_session(tcp::socket socket) : stream(std::move(socket)) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool idle = true;  // Nothing of a next request has arrived.
};

struct http_server_state {
    http_server_state(asio::io_context& io, http_server_options chosen, http_handler answering)
        : context(io), options(std::move(chosen)), handler(std::move(answering)), acceptor(io) {}

    asio::io_context& context;
    http_server_options options;
    http_handler handler;
    tcp::acceptor acceptor;
    std::set<http_session*> sessions;
    bool stopping = false;
};

namespace {

using server_pointer = std::shared_ptr<http_server_state>;
using parser_type = http::request_parser<http::string_body>;

// Removes the session from its server at the end of its coroutine, also when the coroutine is
// unwound because the context is destroyed.
class session_entry {
public:
    session_entry(http_server_state& server, http_session& session)
        : server_(server), session_(session) {
        server_.sessions.insert(&session_);
    }
    session_entry(const session_entry&) = delete;
    session_entry& operator=(const session_entry&) = delete;
    ~session_entry() { server_.sessions.erase(&session_); }

private:
    http_server_state& server_;
    http_session& session_;
};

bool is_parse_error(const error_code& error) {
    return error.category() == http::make_error_code(http::error::bad_method).category() &&
           error != http::error::end_of_stream && error != http::error::partial_message;
}

http_response refusal_of(const error_code& error) {
    if (error == http::error::header_limit) {
        return make_response(http::status::request_header_fields_too_large,
                             "the header is too long\n");
    }
    if (error == http::error::body_limit) {
        return make_response(http::status::payload_too_large, "the body is too long\n");
    }
    return make_response(http::status::bad_request, "malformed request: " + error.message() + "\n");
}

// The idle time ends with the first byte of a request; from there the header time counts.
bool wait_for_request(const http_server_state& server, http_session& session,
                      std::chrono::milliseconds limit, const asio::yield_context& yield) {
    if (session.buffer.size() > 0) {
        return true;
    }
    error_code error;
    session.idle = true;
    session.stream.expires_after(limit);
    const auto count =
        session.stream.async_read_some(session.buffer.prepare(read_piece_bytes), yield[error]);
    session.buffer.commit(count);
    session.idle = false;
    return !error && !server.stopping;
}

error_code read_request(const http_server_state& server, http_session& session, parser_type& parser,
                        const asio::yield_context& yield) {
    error_code error;
    parser.header_limit(server.options.header_limit_bytes);
    parser.body_limit(server.options.body_limit_bytes);
    session.stream.expires_after(server.options.header_time);
    http::async_read_header(session.stream, session.buffer, parser, yield[error]);
    if (error) {
        return error;
    }
    session.stream.expires_after(server.options.body_time);
    http::async_read(session.stream, session.buffer, parser, yield[error]);
    return error;
}

std::optional<http_response> run_handler(const http_server_state& server,
                                         const http_request& request,
                                         const asio::yield_context& yield) {
    try {
        return server.handler(request, yield);
    } catch (const std::exception& error) {
        return make_response(http::status::internal_server_error, std::string(error.what()) + "\n");
    }
}

bool write_response(const http_server_state& server, http_session& session, http_response response,
                    const asio::yield_context& yield) {
    error_code error;
    response.version(11);
    response.prepare_payload();
    session.stream.expires_after(server.options.body_time);
    http::async_write(session.stream, response, yield[error]);
    return !error;
}

// Closing with unread input would reset the connection and could destroy the answer on its way.
void close_after_refusal(http_session& session, const asio::yield_context& yield) {
    error_code error;
    session.stream.socket().shutdown(tcp::socket::shutdown_send, error);
    session.stream.expires_after(drain_time);
    std::size_t drained = 0;
    while (!error && drained < drain_limit_bytes) {
        session.buffer.clear();
        drained +=
            session.stream.async_read_some(session.buffer.prepare(64UL * 1024UL), yield[error]);
    }
}

void refuse(const http_server_state& server, http_session& session, const error_code& error,
            const asio::yield_context& yield) {
    auto response = refusal_of(error);
    response.keep_alive(false);
    if (write_response(server, session, std::move(response), yield)) {
        close_after_refusal(session, yield);
    }
}

// Whether the connection may carry a further request.
bool serve_request(const http_server_state& server, http_session& session,
                   const asio::yield_context& yield) {
    parser_type parser;
    if (const auto error = read_request(server, session, parser, yield)) {
        if (is_parse_error(error)) {
            refuse(server, session, error, yield);
        }
        return false;
    }
    const auto& request = parser.get();
    session.stream.expires_never();
    auto response = run_handler(server, request, yield);
    if (!response) {
        return false;
    }
    const auto keep_alive = request.keep_alive() && !server.stopping;
    response->keep_alive(keep_alive);
    const auto id = request.find("Request-Id");
    if (id != request.end()) {
        response->set("Request-Id", id->value());
    }
    return write_response(server, session, std::move(*response), yield) && keep_alive;
}

void serve(const server_pointer& server, tcp::socket socket, const asio::yield_context& yield) {
    http_session session(std::move(socket));
    const session_entry entry(*server, session);
    auto limit = server->options.header_time;
    while (!server->stopping && wait_for_request(*server, session, limit, yield) &&
           serve_request(*server, session, yield)) {
        limit = server->options.idle_time;
    }
}

void start_session(const server_pointer& server, tcp::socket socket) {
    if (server->sessions.size() >= server->options.max_connections) {
        return;
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto held = std::make_shared<tcp::socket>(std::move(socket));
    asio::spawn(
        server->context,
        [server, held](const asio::yield_context& yield) {
            serve(server, std::move(*held), yield);
        },
        boost::coroutines::attributes(coroutine_stack_bytes));
}

void accept_connections(const server_pointer& server, const asio::yield_context& yield) {
    while (!server->stopping) {
        error_code error;
        tcp::socket socket(server->context);
        server->acceptor.async_accept(socket, yield[error]);
        if (server->stopping) {
            return;
        }
        if (!error) {
            start_session(server, std::move(socket));
            continue;
        }
        // For instance out of descriptors: trying again at once would only burn the processor.
        asio::steady_timer pause(server->context, accept_retry_time);
        pause.async_wait(yield[error]);
    }
}

void close(http_server_state& server, bool also_busy) {
    error_code ignored;
    server.stopping = true;
    server.acceptor.close(ignored);
    for (auto* session : server.sessions) {
        if (also_busy || session->idle) {
            session->stream.close();
        }
    }
}

error_code open(http_server_state& server, const tcp::endpoint& endpoint) {
    error_code error;
    server.acceptor.open(endpoint.protocol(), error);
    if (!error) {
        server.acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        server.acceptor.bind(endpoint, error);
    }
    if (!error) {
        server.acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    return error;
}

}  // namespace

}  // namespace detail

http_server::http_server(asio::io_context& context, http_server_options options,
                         http_handler handler)
    : state_(std::make_shared<detail::http_server_state>(context, std::move(options),
                                                         std::move(handler))) {}

http_server::~http_server() {
    detail::close(*state_, true);
}

std::error_code http_server::listen() {
    const auto endpoint = parse_endpoint(state_->options.address);
    if (!endpoint) {
        return errc::invalid_settings;
    }
    if (const auto error = detail::open(*state_, *endpoint)) {
        return error;
    }
    asio::post(state_->context, [state = state_] {
        asio::spawn(state->context, [state](const asio::yield_context& yield) {
            detail::accept_connections(state, yield);
        });
    });
    return {};
}

std::string http_server::address() const {
    error_code ignored;
    return to_string(state_->acceptor.local_endpoint(ignored));
}

void http_server::stop() {
    detail::close(*state_, false);
}

std::size_t http_server::connections() const {
    return state_->sessions.size();
}

}  // namespace mimosavalve::adapters
