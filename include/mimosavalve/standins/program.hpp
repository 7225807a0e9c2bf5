#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "mimosavalve/adapters/http_server.hpp"

namespace mimosavalve::standins {

/// Exit codes of all programs.
constexpr int exit_success = 0;
constexpr int exit_failure = 1;
constexpr int exit_bad_settings = 2;

/// Arguments of a stand-in, or the exit code when it is to end at once (help, version, mistakes).
struct program_arguments {
    std::string config_file;
    std::optional<int> exit_code;
};

program_arguments parse_arguments(int argc, const char* const* argv, const std::string& purpose);

/// Writes all errors to standard error and returns the exit code for bad settings.
int report_bad_settings(const std::vector<std::string>& errors);

/// Writes the port of "ip:port" into a file under a temporary name first, so that a reader never
/// sees a part of it. An empty file name writes nothing; false when the file can't be written.
bool write_port_file(const std::string& file, const std::string& address);

/// Starts the server, writes the port file, and runs until SIGTERM or SIGINT; then calls
/// `on_stop`, finishes running requests and returns the exit code.
int run_server(boost::asio::io_context& context, adapters::http_server& server,
               const std::string& port_file, const std::function<void()>& on_stop);

}  // namespace mimosavalve::standins
