#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
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

/// Outcome of one read that never blocks.
struct read_result {
    std::size_t bytes = 0;
    bool would_block = false;
    bool closed = false;  ///< Ended by the other side in an orderly way.
    std::error_code error;
};

/// Non-blocking TCP connection with an output queue. It waits for readiness only and holds no read
/// buffer, so that an idle connection costs next to no memory. Destroying it closes the socket; no
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

    /// Whether `readable` is called; off applies back pressure to the other side.
    void want_read(bool on);

    read_result read(std::span<char> into);

    /// Sends what the kernel takes now and queues the rest.
    void write(std::string_view data);
    [[nodiscard]] std::size_t queued() const { return output_.size() - output_offset_; }
    /// Bytes that were handed to the kernel so far.
    [[nodiscard]] std::uint64_t sent() const { return sent_; }

    /// Sends the end of the stream once the queue is empty; reading goes on.
    void finish_writing();
    void close();
    /// Closes with a reset, so that the kernel drops what it has not delivered yet. After an
    /// orderly close it would go on trying, and the other side could get a call long after it was
    /// given up.
    void reset();
    [[nodiscard]] bool is_open() const { return socket_.is_open(); }

private:
    void arm_read();
    void arm_write();
    void flush();
    void fail(std::error_code error);

    tcp::socket socket_;
    callbacks callbacks_;
    std::string output_;
    std::size_t output_offset_ = 0;
    std::uint64_t sent_ = 0;
    bool read_wanted_ = false;
    bool read_armed_ = false;
    bool write_armed_ = false;
    bool finishing_ = false;
    // Handlers that are still queued when the stream is destroyed see that this has expired.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Opens a connection; the handler runs once, never inside the call. Destroying the connector
/// abandons the attempt without a call.
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

/// Endpoint of "IP:PORT"; nothing when the text has another form.
std::optional<tcp::endpoint> parse_endpoint(std::string_view text);

}  // namespace mimosavalve::gateway
