#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "mimosavalve/config/process_settings.hpp"

namespace mimosavalve::observe {

/// One message of the log.
struct log_line {
    config::log_level level = config::log_level::info;
    std::string_view component;  ///< Part of the program, for instance "control".
    std::string_view request;    ///< Request id, or empty.
    std::string_view message;
};

/// Sends log lines to stderr from now on. Call it once at the start of a program; every program
/// has to contain `INITIALIZE_EASYLOGGINGPP`.
void set_up_log(const config::log_settings& settings);

/// Writes a line when its level is on. May be called from any thread.
void write_log(const log_line& line);

/// The line as it is written, without the end of line. Control characters become spaces in text,
/// so that a value from outside can't start a line of its own.
std::string formatted(const log_line& line, config::log_format format, std::uint64_t unix_ms);

/// "2026-12-04T06:30:00.250Z".
std::string utc_time(std::uint64_t unix_ms);

}  // namespace mimosavalve::observe
