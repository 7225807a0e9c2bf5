#pragma once

#include <tclap/CmdLine.h>

#include <iosfwd>
#include <span>

#include "mimosavalve/load/settings_reader.hpp"

namespace mimosavalve::load {

/// Exit code of a program whose settings or arguments are refused.
constexpr int bad_settings_exit_code = 2;

/// Reads the arguments. Returns true when the program shall go on; else `exit_code` is 0 after
/// `--help` and `--version`, or `bad_settings_exit_code` after a message.
bool parse_arguments(TCLAP::CmdLine& command_line, int argc, const char* const* argv,
                     int& exit_code);

/// Prints all problems, one a line.
void print_problems(std::ostream& out, std::span<const settings_problem> problems);

}  // namespace mimosavalve::load
