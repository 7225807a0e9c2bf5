#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace mimosavalve::test {

/// Answer of a fake target to a request.
struct target_reply {
    unsigned status = 200;
    std::string body = "ok";
    std::string extra_fields;            ///< Further header lines, each with CRLF.
    std::string request_id;              ///< Returned instead of the request's own when not empty.
    std::string raw;                     ///< When not empty, sent instead of all of the above.
    std::chrono::milliseconds delay{0};  ///< Time before the answer is sent.
    bool chunked = false;
    bool silent = false;       ///< Never answers; waits for the connection to end.
    bool close_after = false;  ///< Closes the connection after the answer.
    bool before_body = false;  ///< Answers without reading the body and closes the connection.
    std::size_t cut_after_bytes = 0;  ///< Closes after this many bytes of the answer; 0: sends all.
};

/// A target on a loopback port chosen by the system; runs on one thread of its own.
class fake_target {
public:
    using request = boost::beast::http::request<boost::beast::http::string_body>;
    using handler = std::function<target_reply(const request&)>;

    explicit fake_target(handler answer);
    ~fake_target();

    [[nodiscard]] std::string address() const;

    /// Resets all connections and stops listening.
    void crash();

    /// Copies of the requests received, without probes; bodies above 64 KB are discarded.
    [[nodiscard]] std::vector<request> requests() const;

    std::atomic<int> probes{0};
    std::atomic<int> connections{0};
    std::atomic<int> running{0};
    std::atomic<int> max_running{0};
    std::atomic<int> closed_early{0};  ///< Connections that the router closed before an answer.
    std::atomic<std::size_t> body_bytes{0};
    std::atomic<std::uint64_t> instance{7};
    std::atomic<bool> answers_probes{true};
    std::atomic<bool> reads_bodies{true};  ///< If false, answers after the header and then closes.

    /// The target's monotonic clock, which is independent of the router's.
    [[nodiscard]] std::uint64_t clock_ms() const;

private:
    void accept();
    void serve(boost::asio::ip::tcp::socket& socket, const boost::asio::yield_context& yield);
    bool answer_one(boost::asio::ip::tcp::socket& socket, const boost::asio::yield_context& yield);
    std::string text_of(const target_reply& reply, const request& from) const;

    handler answer_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::endpoint endpoint_;
    std::vector<boost::asio::ip::tcp::socket*> sockets_;
    mutable std::mutex mutex_;
    std::vector<request> requests_;
    std::chrono::steady_clock::time_point started_;
    std::thread thread_;
};

}  // namespace mimosavalve::test
