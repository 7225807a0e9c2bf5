#pragma once

#include <netinet/tcp.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <system_error>

namespace mimosavalve::gateway {

using tcp = boost::asio::ip::tcp;

/// Outcome of one non-blocking read.
struct read_result {
    std::size_t bytes = 0;
    bool would_block = false;
    bool closed = false;  ///< The peer has closed the stream in an orderly way.
    std::error_code error;
};

/// Non-blocking TCP connection with an output queue. It only waits for readiness and has no read
/// buffer, so that an idle connection needs almost no memory. The destructor closes the socket; no
/// callback runs afterwards.
class stream {
public:
    struct callbacks {
        std::function<void()> readable;
        std::function<void()> drained;  ///< The output queue has become empty.
        std::function<void(std::error_code)> failed;
    };

    explicit stream(tcp::socket socket);

    void set_callbacks(callbacks handlers) { callbacks_ = std::move(handlers); }

    /// Switches calls of `readable` on or off; off applies back pressure to the peer.
    void set_reading_enabled(bool enabled);

    read_result read(std::span<char> into);
    /// Whether the peer has closed or reset the connection, also if bytes before that are unread
    /// and the kernel tells.
    [[nodiscard]] bool has_peer_closed();
    /// Time since the kernel received the last bytes of the peer; nothing if it does not tell.
    [[nodiscard]] std::optional<std::chrono::milliseconds> time_since_receipt();

    /// Sends as much as the kernel accepts now and queues the rest.
    void write(std::string_view data);
    [[nodiscard]] std::size_t queued_bytes() const { return output_.size() - output_offset_; }
    /// Number of bytes handed to the kernel since the connection was opened.
    [[nodiscard]] std::uint64_t sent_bytes() const { return sent_; }

    /// Whether the peer has acknowledged every written byte and has not reset the connection. Where
    /// the kernel does not tell: whether it has taken every byte.
    [[nodiscard]] bool has_delivered_all();

    /// Shuts down the sending side once the queue is empty; reading stays possible.
    void finish_writing();
    void close();
    /// Closes with a TCP reset, so that the kernel discards undelivered data. After an orderly
    /// close the kernel would keep sending, and the peer could receive a call long after the caller
    /// had given it up.
    void reset();
    [[nodiscard]] bool is_open() const { return socket_.is_open(); }

private:
    [[nodiscard]] std::optional<tcp_info> kernel_info();
    void arm_read();
    void arm_write();
    void flush();
    void fail(std::error_code error);

    tcp::socket socket_;
    callbacks callbacks_;
    std::string output_;
    std::size_t output_offset_ = 0;
    std::uint64_t sent_ = 0;
    bool reading_enabled_ = false;
    bool read_armed_ = false;
    bool write_armed_ = false;
    bool finishing_ = false;
    // Expires with the stream, so that handlers still queued at that time do nothing.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Opens a connection. The handler runs once, never inside the constructor. Destroying the
/// connector abandons the attempt without running the handler.
class connector {
public:
    using handler = std::function<void(std::error_code, std::unique_ptr<stream>)>;

    connector(boost::asio::io_context& context, const tcp::endpoint& to,
              std::chrono::steady_clock::time_point deadline, handler done);

private:
    void finish(std::error_code error);

    tcp::socket socket_;
    boost::asio::steady_timer timer_;
    handler done_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Parses "IP:PORT"; nothing if the text has another form.
std::optional<tcp::endpoint> parse_endpoint(std::string_view text);

}  // namespace mimosavalve::gateway
