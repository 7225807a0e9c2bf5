#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "target_core.hpp"

namespace mimosavalve::standins {

class target_session;

/// What a connection asks of the server that accepted it.
struct session_hooks {
    /// Faults that concern the whole process, applied after their order was answered.
    std::function<void(const fault_order&, target_session&)> apply_fault;
    std::function<void(target_session&)> closed;
};

/// One connection to a target. Handlers of a pending operation keep it alive.
class target_session : public std::enable_shared_from_this<target_session> {
public:
    /// A connection `over_limit` gets answers to orders and probes only.
    target_session(boost::asio::ip::tcp::socket socket, target_core& core, session_hooks hooks,
                   bool over_limit);

    /// Serves the connection until it closes.
    void run();
    /// From now on nothing is read or answered, and the connection stays open.
    void silence() { silent_ = true; }
    /// Ends the connection after the answer in progress, or at once when there is none.
    void close_when_idle();
    void close_now();

private:
    using parser_type = boost::beast::http::request_parser<boost::beast::http::buffer_body>;
    struct answer {
        unsigned status = 200;
        std::string body;
        start_refusal refusal = start_refusal::none;
        bool not_run = false;
    };

    void serve(const boost::asio::yield_context& yield);
    bool serve_one(parser_type& parser, const boost::asio::yield_context& yield);
    bool serve_control(parser_type& parser, const std::string& path,
                       const boost::asio::yield_context& yield);
    bool serve_request(parser_type& parser, const request_info& info,
                       const boost::asio::yield_context& yield);
    bool refuse(parser_type& parser, const request_info& info, const answer& refused,
                const boost::asio::yield_context& yield);
    bool run_request(const request_info& info, const body_digest& body, answer& result,
                     const boost::asio::yield_context& yield);
    answer answer_order(bool grants, const body_digest& body,
                        const boost::asio::yield_context& yield);
    bool read_body(parser_type& parser, std::uint64_t keep_bytes, body_digest& body,
                   const boost::asio::yield_context& yield);
    bool write_answer(const answer& result, const std::string& request_id, bool keep_alive,
                      const boost::asio::yield_context& yield);
    void wait(std::chrono::nanoseconds time, const boost::asio::yield_context& yield);
    void stay_silent(const boost::asio::yield_context& yield);
    void watch_caller(running_request& request);
    void stop_watching();

    boost::asio::ip::tcp::socket socket_;
    target_core& core_;
    session_hooks hooks_;
    boost::asio::steady_timer timer_;
    boost::beast::flat_buffer buffer_;
    std::vector<char> chunk_;
    running_request* watched_ = nullptr;
    std::uint64_t watch_number_ = 0;
    bool over_limit_;
    bool silent_ = false;
    bool idle_ = true;
    bool closing_ = false;
};

}  // namespace mimosavalve::standins
