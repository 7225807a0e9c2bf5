#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include "mimosavalve/ports/peers.hpp"

namespace boost::asio {
class io_context;
}

namespace mimosavalve::adapters {

struct zmq_peers_options {
    std::string address =
        "127.0.0.1:0";  ///< "ip:port" to receive on; port 0 lets the system choose.
    std::size_t max_message_bytes = std::size_t{2} << 20U;
    int high_water_mark = 256;                          ///< Messages queued per peer.
    std::chrono::milliseconds unused_peer_time{60000};  ///< Peers without a message are closed.
};

/// Counts since the start of the transport.
struct zmq_peers_counts {
    std::uint64_t sent = 0;
    std::uint64_t dropped = 0;    ///< Not sent: the queue was full, or a bad address or size.
    std::uint64_t received = 0;   ///< Delivered to the handler.
    std::uint64_t malformed = 0;  ///< Refused: no whole envelope with a body, or of several parts.
    std::uint64_t oversized = 0;  ///< Refused: too long.
};

namespace detail {
struct zmq_peers_state;
}

/// One-way messages between daemons over ZeroMQ: one PULL socket to receive and one PUSH socket for
/// each peer address. All calls and the handler belong to the thread that runs the context.
///
/// Messages to a peer that can't be reached are queued up to the high-water mark and arrive late
/// when it returns.
class zmq_peers {
public:
    using handler = std::function<void(const wire::Envelope&)>;

    /// The handler may send, but must not destroy the transport.
    zmq_peers(boost::asio::io_context& context, zmq_peers_options options, handler on_message);
    zmq_peers(const zmq_peers&) = delete;
    zmq_peers& operator=(const zmq_peers&) = delete;

    /// Closes all sockets; queued messages are lost.
    ~zmq_peers();

    /// Binds and starts to receive. Errors of the system, or `errc::invalid_settings` for an
    /// address that is no "ip:port".
    std::error_code listen();

    /// Address bound by `listen`, with the port that the system chose.
    [[nodiscard]] const std::string& address() const;

    /// May outlive the transport; it then does nothing.
    [[nodiscard]] ports::peers port() const;

    [[nodiscard]] const zmq_peers_counts& counts() const;

    /// Peers with an open socket.
    [[nodiscard]] std::size_t open_peers() const;

private:
    std::shared_ptr<detail::zmq_peers_state> state_;
};

}  // namespace mimosavalve::adapters
