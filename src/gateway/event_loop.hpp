#pragma once

#include <boost/asio/io_context.hpp>
#include <exception>
#include <functional>

namespace mimosavalve::gateway {

/// Runs the handlers of a context until it is stopped or has none left. An exception ends only the
/// handler that throws it: `on_failure` gets it, and the other handlers run on.
void run_event_loop(boost::asio::io_context& context,
                    const std::function<void(const std::exception&)>& on_failure);

}  // namespace mimosavalve::gateway
