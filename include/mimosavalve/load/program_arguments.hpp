#pragma once

#include <tclap/CmdLine.h>

#include <iosfwd>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "mimosavalve/load/settings_reader.hpp"

namespace mimosavalve::load {

/// Exit code of a program whose settings or arguments are refused.
constexpr int bad_settings_exit_code = 2;

/// Reads the arguments. Returns true when the program shall go on; else `exit_code` is 0 after
/// `--help` and `--version`, or `bad_settings_exit_code` after a message.
bool parse_arguments(TCLAP::CmdLine& command_line, int argc, const char* const* argv,
                     int& exit_code);

/// Arguments that replace fields of a settings file: "--port-file" for the field port_file.
class override_arguments {
public:
    override_arguments(TCLAP::CmdLine& command_line, std::span<const std::string> fields);

    /// Those that were given.
    [[nodiscard]] std::vector<settings_override> values() const;

private:
    std::vector<std::string> fields_;
    std::vector<std::unique_ptr<TCLAP::ValueArg<std::string>>> arguments_;
};

/// Prints all problems, one a line.
void print_problems(std::ostream& out, std::span<const settings_problem> problems);

}  // namespace mimosavalve::load
