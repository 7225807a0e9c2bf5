#pragma once

#include <memory>

#include "mimosavalve/ports/target_control.hpp"

namespace boost::asio {
class io_context;
}

namespace mimosavalve::adapters {

namespace detail {
struct http_target_control_state;
}

/// Orders and probes to targets over HTTP, each on a new connection. All calls and callbacks belong
/// to the thread that runs the context.
///
/// Orders carry their deadline in the target's own clock, mapped from its last probe; without a
/// fresh reading the target is probed first. They also name the probed instance, so that a target
/// restarted since can refuse a deadline of its former clock.
///
/// Errors: `errc::target_refused` (409), `errc::target_unreachable` when the connection can't be
/// opened or breaks or the target answers 5xx, `errc::deadline_exceeded`, and
/// `errc::malformed_message` for all other answers. An order that ends with an error other than
/// `target_refused` may have had its effect.
class http_target_control {
public:
    explicit http_target_control(boost::asio::io_context& context);
    http_target_control(const http_target_control&) = delete;
    http_target_control& operator=(const http_target_control&) = delete;

    /// Running operations end without their callbacks.
    ~http_target_control();

    /// May outlive the client; its operations then do nothing.
    [[nodiscard]] ports::target_control port() const;

private:
    std::shared_ptr<detail::http_target_control_state> state_;
};

}  // namespace mimosavalve::adapters
