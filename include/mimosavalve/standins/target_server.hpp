#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <system_error>

#include "mimosavalve/standins/target_settings.hpp"

namespace mimosavalve::standins {

/// Stand-in of a platform target: HTTP server with simulated work, fences and faults. Everything
/// runs on the one thread that runs the context.
class target_server {
public:
    target_server(boost::asio::io_context& context, const target_settings& settings);
    ~target_server();

    /// Opens the port and the history, writes the port file and starts to accept.
    std::error_code start();
    [[nodiscard]] std::uint16_t port() const;

    /// Reports itself as leaving, serves until its slots are taken back or `leave_time` has passed,
    /// finishes what runs and closes everything. The context then runs out of work.
    void leave();

private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace mimosavalve::standins
