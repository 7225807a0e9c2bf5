#include "http_front_end_session.hpp"

#include <boost/beast/http/error.hpp>
#include <tuple>

#include "http_front_end_exchange.hpp"
#include "http_front_end_header.hpp"

namespace mimosavalve::adapters::front_end {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace detail {

constexpr std::chrono::seconds idle_limit{60};
constexpr std::chrono::seconds header_limit{5};
constexpr std::chrono::seconds linger_limit{1};
constexpr std::chrono::seconds stopping_idle_limit{1};
// A pipelined request and a header of the largest size fit beside each other.
constexpr std::size_t max_buffered = std::size_t{32} * 1024;
constexpr std::size_t max_discarded = std::size_t{1} << 20U;

/// Waits for the first byte of a request, which an idle connection may do for long.
bool wait_for_request(session& caller, const asio::yield_context& yield) {
    if (caller.buffer.size() > 0) {
        return true;
    }
    const auto now = std::chrono::steady_clock::now();
    caller.watch.between_requests = true;
    caller.watch.limit = now + (caller.home.shared.stopping ? stopping_idle_limit : idle_limit);
    boost::system::error_code error;
    const auto count =
        caller.socket.async_read_some(caller.buffer.prepare(read_size), yield[error]);
    caller.buffer.commit(count);
    caller.watch.between_requests = false;
    return !error;
}

void refuse_header(session& caller, traffic::refusal_reason reason,
                   const asio::yield_context& yield) {
    caller.request_id.clear();
    caller.home.append_request_id(caller.request_id);
    own_answer answer;
    answer.reason = reason;
    answer.request_id = caller.request_id;
    write_own_answer(caller.out, answer);
    std::array parts{asio::const_buffer(asio::buffer(caller.out))};
    boost::system::error_code ignored;
    write_all(caller.socket, parts, yield, ignored);
}

/// Answers a header that could not be read, unless the caller is gone.
void answer_bad_header(session& caller, const boost::system::error_code& error,
                       const asio::yield_context& yield) {
    const bool timed_out = caller.watch.timed_out;
    caller.watch.timed_out = false;
    caller.watch.limit = std::chrono::steady_clock::now() + linger_limit;
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        refuse_header(caller, traffic::refusal_reason::header_too_large, yield);
    } else if (timed_out) {
        refuse_header(caller, traffic::refusal_reason::header_timeout, yield);
    } else if (error.category() == http::make_error_code(http::error::bad_method).category()) {
        refuse_header(caller, traffic::refusal_reason::bad_request, yield);
    } else {
        caller.cut = true;
    }
}

/// Whether the connection may carry another request.
bool serve_request(session& caller, const asio::yield_context& yield) {
    if (!wait_for_request(caller, yield)) {
        return false;
    }
    caller.header_arena.release();
    caller.watch.limit = std::chrono::steady_clock::now() + header_limit;
    request_parser parser(std::piecewise_construct, std::make_tuple(),
                          std::make_tuple(header_allocator(&caller.header_arena)));
    parser.header_limit(max_header);
    // Without a limit this version of the parser refuses every body of known length.
    parser.body_limit(UINT64_MAX);
    boost::system::error_code error;
    read_header(caller.socket, caller.buffer, parser, yield, error);
    if (error) {
        answer_bad_header(caller, error, yield);
        return false;
    }
    caller.watch.limit = steady_time::max();
    exchange running(caller, parser, yield);
    return running.run() && !caller.cut;
}

/// Closing with unread bytes would reset the connection and could destroy the last answer on its
/// way, so what the caller still sends is read for a moment.
void linger(session& caller, const asio::yield_context& yield) {
    boost::system::error_code error;
    caller.watch.limit = std::chrono::steady_clock::now() + linger_limit;
    caller.socket.shutdown(tcp::socket::shutdown_send, error);
    std::size_t discarded = 0;
    while (!error && !caller.watch.timed_out && discarded < max_discarded) {
        caller.buffer.clear();
        discarded += caller.socket.async_read_some(caller.buffer.prepare(read_size), yield[error]);
    }
}

}  // namespace detail

session::session(worker& owner, tcp::socket accepted)
    : home(owner),
      socket(std::move(accepted)),
      buffer(detail::max_buffered),
      timer(owner.context()) {
    watch.socket = &socket;
    watch.limit = std::chrono::steady_clock::now() + detail::idle_limit;
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    home.add(watch);
}

session::~session() {
    home.remove(watch);
}

void serve_connection(worker& home, tcp::socket socket, const asio::yield_context& yield) {
    session caller(home, std::move(socket));
    while (detail::serve_request(caller, yield)) {
    }
    if (!caller.cut) {
        detail::linger(caller, yield);
    }
}

}  // namespace mimosavalve::adapters::front_end
