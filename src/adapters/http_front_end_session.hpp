#pragma once

#include <array>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <memory_resource>
#include <string>

#include "http_front_end_body.hpp"
#include "http_front_end_worker.hpp"
#include "mimosavalve/traffic/in_flight.hpp"

namespace mimosavalve::adapters::front_end {

/// A caller's connection. Its buffers are reused by all requests on it.
struct session {
    session(worker& owner, tcp::socket accepted);
    ~session();
    session(const session&) = delete;
    session& operator=(const session&) = delete;

    worker& home;
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    boost::asio::steady_timer timer;
    connection_watch watch;
    traffic::in_flight_request in_flight;
    std::string request_id;
    std::string out;          ///< Header for the caller.
    std::string request_out;  ///< Header for the target.
    bool cut = false;         ///< An answer was left incomplete: close without ceremony.

    /// Memory of header fields, given back after each request.
    std::array<std::byte, 6144> header_memory{};
    std::pmr::monotonic_buffer_resource header_arena{header_memory.data(), header_memory.size()};
};

/// Serves the requests of a connection one after another until it ends.
void serve_connection(worker& home, tcp::socket socket, const boost::asio::yield_context& yield);

}  // namespace mimosavalve::adapters::front_end
