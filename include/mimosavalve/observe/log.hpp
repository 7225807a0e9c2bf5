#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "mimosavalve/config/process_settings.hpp"

namespace mimosavalve::observe {

/// Message of the log with its context.
struct log_line {
    config::log_level level = config::log_level::info;
    std::string_view component;  ///< Part of the program, for instance "control".
    std::string_view request;    ///< Request id, or empty.
    std::string_view message;
};

/// Directs the log to stderr and applies level and format. Called once at the start of a program.
/// Each program has to contain `INITIALIZE_EASYLOGGINGPP`.
void set_up_log(const config::log_settings& settings);

/// Writes a line when its level is enabled. Thread-safe.
void write_log(const log_line& line);

/// Formats a line without the line break at its end. In the text format, control characters are
/// replaced by spaces, so that a value from outside cannot start a new line.
std::string format_log_line(const log_line& line, config::log_format format, std::uint64_t unix_ms);

/// Time in ISO 8601 with milliseconds, for instance "2026-12-04T06:30:00.250Z".
std::string utc_time(std::uint64_t unix_ms);

}  // namespace mimosavalve::observe
