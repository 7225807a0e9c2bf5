#pragma once

#include <memory>
#include <string>

#include "mimosavalve/ports/host_list.hpp"

namespace boost::asio {
class io_context;
}

namespace mimosavalve::adapters {

namespace detail {
struct http_host_list_state;
}

/// Client of the platform's host list over HTTP, with a new connection for each read. All calls and
/// callbacks belong to the thread that runs the context.
///
/// Errors: `errc::peer_unreachable` when the list's server can't be reached or answers with an
/// error, `errc::deadline_exceeded`, and `errc::malformed_message` when any entry is not valid: a
/// list without that entry would look as if the host were gone.
class http_host_list {
public:
    /// `address` is the "ip:port" of the list's server.
    http_host_list(boost::asio::io_context& context, const std::string& address);
    http_host_list(const http_host_list&) = delete;
    http_host_list& operator=(const http_host_list&) = delete;

    /// Running reads end without their callbacks.
    ~http_host_list();

    /// May outlive the client; its reads then do nothing.
    [[nodiscard]] ports::host_list port() const;

private:
    std::shared_ptr<detail::http_host_list_state> state_;
};

}  // namespace mimosavalve::adapters
