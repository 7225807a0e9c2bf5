#include "mimosavalve/adapters/zmq_peers.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <limits>
#include <map>
#include <optional>
#include <utility>
#include <zmq.hpp>

#include "control.pb.h"
#include "mimosavalve/adapters/http_message.hpp"
#include "mimosavalve/core/error.hpp"
#include "mimosavalve/core/types.hpp"

namespace mimosavalve::adapters {

namespace asio = boost::asio;

namespace detail {

// Messages received before other work of the thread gets its turn.
constexpr int messages_per_turn = 64;
constexpr int max_peers = 4096;
// A connection that went silent is replaced after this time and one heartbeat.
constexpr int heartbeat_ms = 500;
constexpr int heartbeat_timeout_ms = 1000;
constexpr int handshake_ms = 2000;
constexpr int connect_timeout_ms = 1000;
constexpr int reconnect_ms = 50;
constexpr int longest_reconnect_ms = 500;

struct peer_socket {
    zmq::socket_t socket;
    steady_time last_used;
};

struct zmq_peers_state {
    zmq_peers_state(asio::io_context& io, zmq_peers_options chosen, zmq_peers::handler handler)
        : context(io),
          options(std::move(chosen)),
          on_message(std::move(handler)),
          readable(io),
          sweep(io) {
        zmq_context.set(zmq::ctxopt::max_sockets, max_peers + 1);
    }

    asio::io_context& context;
    zmq_peers_options options;
    zmq_peers::handler on_message;
    zmq::context_t zmq_context{1};
    std::optional<zmq::socket_t> receiver;
    asio::posix::stream_descriptor readable;  // Of the receiver, which owns the descriptor.
    std::map<std::string, peer_socket> peers;
    asio::steady_timer sweep;
    bool sweeping = false;
    std::string address;
    zmq_peers_counts counts;
    bool closed = false;
};

namespace {

using state_pointer = std::shared_ptr<zmq_peers_state>;

// Longer messages than this end the connection before they are held in memory; those between the
// two limits are received, counted and refused.
std::int64_t connection_limit(const zmq_peers_options& options) {
    return static_cast<std::int64_t>(options.max_message_bytes) * 2;
}

// Reads the further parts of a message whose first part has been received.
void discard_parts(zmq::socket_t& socket) {
    zmq::message_t part;
    while (socket.recv(part, zmq::recv_flags::dontwait) && part.more()) {
    }
}

bool parse(const zmq::message_t& message, wire::Envelope& envelope) {
    const auto size = static_cast<int>(std::min<std::size_t>(
        message.size(), static_cast<std::size_t>(std::numeric_limits<int>::max())));
    return envelope.ParseFromArray(message.data(), size) &&
           envelope.body_case() != wire::Envelope::BODY_NOT_SET;
}

void deliver(zmq_peers_state& state, const zmq::message_t& message) {
    if (message.size() > state.options.max_message_bytes) {
        ++state.counts.oversized;
        return;
    }
    if (message.more()) {
        discard_parts(*state.receiver);
        ++state.counts.malformed;
        return;
    }
    wire::Envelope envelope;
    if (!parse(message, envelope)) {
        ++state.counts.malformed;
        return;
    }
    ++state.counts.received;
    state.on_message(envelope);
}

bool receive_one(zmq_peers_state& state) {
    zmq::message_t message;
    if (!state.receiver->recv(message, zmq::recv_flags::dontwait)) {
        return false;
    }
    deliver(state, message);
    return true;
}

void receive(const state_pointer& state);

// ZeroMQ's descriptor only signals that something may have changed, and signals it once. Waiting is
// right only after a receive has found nothing, since that has taken in all that was signalled.
void wait_readable(const state_pointer& state) {
    state->readable.async_wait(asio::posix::stream_descriptor::wait_read,
                               [state](const boost::system::error_code& error) {
                                   if (!error) {
                                       receive(state);
                                   }
                               });
}

void receive(const state_pointer& state) {
    for (int count = 0; count < messages_per_turn; ++count) {
        if (state->closed) {
            return;
        }
        if (!receive_one(*state)) {
            wait_readable(state);
            return;
        }
    }
    asio::post(state->context, [state] { receive(state); });
}

void open_receiver(zmq_peers_state& state) {
    state.receiver.emplace(state.zmq_context, zmq::socket_type::pull);
    auto& socket = *state.receiver;
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::rcvhwm, state.options.high_water_mark);
    socket.set(zmq::sockopt::maxmsgsize, connection_limit(state.options));
    socket.set(zmq::sockopt::handshake_ivl, handshake_ms);
    socket.bind("tcp://" + state.options.address);
    constexpr std::size_t scheme_length = 6;
    state.address = socket.get(zmq::sockopt::last_endpoint).substr(scheme_length);
    state.readable.assign(socket.get(zmq::sockopt::fd));
}

zmq::socket_t open_peer(zmq_peers_state& state, const std::string& address) {
    zmq::socket_t socket(state.zmq_context, zmq::socket_type::push);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, state.options.high_water_mark);
    socket.set(zmq::sockopt::heartbeat_ivl, heartbeat_ms);
    socket.set(zmq::sockopt::heartbeat_timeout, heartbeat_timeout_ms);
    socket.set(zmq::sockopt::handshake_ivl, handshake_ms);
    socket.set(zmq::sockopt::connect_timeout, connect_timeout_ms);
    socket.set(zmq::sockopt::reconnect_ivl, reconnect_ms);
    socket.set(zmq::sockopt::reconnect_ivl_max, longest_reconnect_ms);
    socket.connect("tcp://" + address);
    return socket;
}

void close_unused(zmq_peers_state& state) {
    const auto limit = std::chrono::steady_clock::now() - state.options.unused_peer_time;
    std::erase_if(state.peers, [&](const auto& peer) { return peer.second.last_used <= limit; });
}

void start_sweep(const state_pointer& state) {
    if (state->sweeping || state->peers.empty()) {
        return;
    }
    state->sweeping = true;
    state->sweep.expires_after(state->options.unused_peer_time / 2);
    state->sweep.async_wait([state](const boost::system::error_code& error) {
        if (error || state->closed) {
            return;
        }
        state->sweeping = false;
        close_unused(*state);
        start_sweep(state);
    });
}

// Null when the address is not one or no socket is left.
zmq::socket_t* find_peer(const state_pointer& state, const std::string& address) {
    const auto now = std::chrono::steady_clock::now();
    auto found = state->peers.find(address);
    if (found == state->peers.end()) {
        const auto endpoint = parse_endpoint(address);
        if (!endpoint || endpoint->port() == 0) {
            return nullptr;
        }
        found = state->peers.emplace(address, peer_socket{open_peer(*state, address), now}).first;
        start_sweep(state);
    }
    found->second.last_used = now;
    return &found->second.socket;
}

// ZeroMQ may not have taken in yet that the peer read messages; asking for the socket's events
// makes it do so, which saves part of a burst that would otherwise be dropped.
bool send_or_drop(zmq::socket_t& socket, zmq::message_t& message) {
    if (socket.send(message, zmq::send_flags::dontwait)) {
        return true;
    }
    const auto events = socket.get(zmq::sockopt::events);
    return (static_cast<unsigned>(events) & static_cast<unsigned>(ZMQ_POLLOUT)) != 0 &&
           socket.send(message, zmq::send_flags::dontwait).has_value();
}

bool try_send(const state_pointer& state, const std::string& address,
              const wire::Envelope& envelope) {
    const auto size = envelope.ByteSizeLong();
    if (size > state->options.max_message_bytes) {
        return false;
    }
    try {
        auto* const socket = find_peer(state, address);
        if (socket == nullptr) {
            return false;
        }
        zmq::message_t message(size);
        envelope.SerializeToArray(message.data(), static_cast<int>(size));
        return send_or_drop(*socket, message);
    } catch (const zmq::error_t&) {
        return false;
    }
}

void send(const state_pointer& state, const std::string& address, const wire::Envelope& envelope) {
    if (state->closed) {
        return;
    }
    if (try_send(state, address, envelope)) {
        ++state->counts.sent;
    } else {
        ++state->counts.dropped;
    }
}

void close(zmq_peers_state& state) {
    state.closed = true;
    state.sweep.cancel();
    state.peers.clear();
    if (state.readable.is_open()) {
        state.readable.release();
    }
    state.receiver.reset();
    state.zmq_context.close();
}

}  // namespace

}  // namespace detail

zmq_peers::zmq_peers(asio::io_context& context, zmq_peers_options options, handler on_message)
    : state_(std::make_shared<detail::zmq_peers_state>(context, std::move(options),
                                                       std::move(on_message))) {}

zmq_peers::~zmq_peers() {
    detail::close(*state_);
}

std::error_code zmq_peers::listen() {
    if (!parse_endpoint(state_->options.address)) {
        return errc::invalid_settings;
    }
    try {
        detail::open_receiver(*state_);
    } catch (const zmq::error_t& error) {
        return {error.num(), std::system_category()};
    }
    asio::post(state_->context, [state = state_] { detail::receive(state); });
    return {};
}

const std::string& zmq_peers::address() const {
    return state_->address;
}

ports::peers zmq_peers::port() const {
    return {[state = state_](const std::string& address, const wire::Envelope& envelope) {
        detail::send(state, address, envelope);
    }};
}

const zmq_peers_counts& zmq_peers::counts() const {
    return state_->counts;
}

std::size_t zmq_peers::open_peers() const {
    return state_->peers.size();
}

}  // namespace mimosavalve::adapters
