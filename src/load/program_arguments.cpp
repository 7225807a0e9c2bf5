#include "mimosavalve/load/program_arguments.hpp"

#include <algorithm>
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

override_arguments::override_arguments(TCLAP::CmdLine& command_line,
                                       std::span<const std::string> fields)
    : fields_(fields.begin(), fields.end()) {
    for (const auto& field : fields_) {
        auto name = field;
        std::replace(name.begin(), name.end(), '_', '-');
        arguments_.push_back(std::make_unique<TCLAP::ValueArg<std::string>>(
            "", name, "replaces the field " + field, false, "", "value", command_line));
    }
}

std::vector<settings_override> override_arguments::values() const {
    std::vector<settings_override> given;
    for (std::size_t index = 0; index < fields_.size(); ++index) {
        if (arguments_[index]->isSet()) {
            given.emplace_back(fields_[index], arguments_[index]->getValue());
        }
    }
    return given;
}

void print_problems(std::ostream& out, std::span<const settings_problem> problems) {
    for (const auto& problem : problems) {
        out << to_string(problem) << "\n";
    }
}

}  // namespace mimosavalve::load
