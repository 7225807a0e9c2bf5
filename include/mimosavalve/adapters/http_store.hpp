#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "mimosavalve/ports/store.hpp"

namespace boost::asio {
class io_context;
}

namespace mimosavalve::adapters {

struct http_store_options {
    std::string address;          ///< "ip:port" of the store.
    std::size_t connections = 4;  ///< Operations at the same time, watches not counted.
};

namespace detail {
struct http_store_state;
}

/// Client of the platform's store over HTTP. All calls and callbacks belong to the thread that runs
/// the context. Operations over the number of connections wait for a free one within their
/// deadline. Each watch has a connection of its own.
///
/// Errors beside those of `ports::store`: `errc::malformed_message` when the store calls a request
/// malformed, and `std::errc::message_size` for a value over 1 MB. An operation ends with
/// `errc::store_unavailable` before its deadline when its connection can't be opened or breaks;
/// reads are then repeated once if the connection had been used before.
class http_store {
public:
    http_store(boost::asio::io_context& context, const http_store_options& options);
    http_store(const http_store&) = delete;
    http_store& operator=(const http_store&) = delete;

    /// Closes all connections; running operations end without their callbacks.
    ~http_store();

    /// May outlive the client; its operations then do nothing.
    [[nodiscard]] ports::store port() const;

private:
    std::shared_ptr<detail::http_store_state> state_;
};

}  // namespace mimosavalve::adapters
