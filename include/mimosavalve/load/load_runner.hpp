#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <system_error>

#include "mimosavalve/load/load_settings.hpp"
#include "mimosavalve/load/load_summary.hpp"

namespace mimosavalve::load {

/// Sends the configured load. Everything runs on the one thread that runs the context, which runs
/// out of work when the load has ended.
class load_runner {
public:
    load_runner(boost::asio::io_context& context, const load_settings& settings);
    ~load_runner();

    /// Opens the history file and starts the load.
    std::error_code start();
    /// Sends nothing new; requests in flight end by themselves.
    void stop();

    /// Whether all requests have ended.
    [[nodiscard]] bool finished() const;
    /// Complete when the load has finished.
    [[nodiscard]] const load_summary& summary() const;
    [[nodiscard]] std::chrono::nanoseconds run_time() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace mimosavalve::load
