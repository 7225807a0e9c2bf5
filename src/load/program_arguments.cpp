#include "mimosavalve/load/program_arguments.hpp"

#include <iostream>

namespace mimosavalve::load {

bool parse_arguments(TCLAP::CmdLine& command_line, int argc, const char* const* argv,
                     int& exit_code) {
    // TCLAP would end the process with exit code 1 on a bad argument.
    command_line.setExceptionHandling(false);
    try {
        command_line.parse(argc, argv);
        return true;
    } catch (const TCLAP::ExitException& end) {
        exit_code = end.getExitStatus();
    } catch (const TCLAP::ArgException& failure) {
        std::cerr << "command line: " << failure.argId() << ": " << failure.error()
                  << "; allowed are the arguments that --help lists\n";
        exit_code = bad_settings_exit_code;
    }
    return false;
}

void print_problems(std::ostream& out, std::span<const settings_problem> problems) {
    for (const auto& problem : problems) {
        out << to_string(problem) << "\n";
    }
}

}  // namespace mimosavalve::load
