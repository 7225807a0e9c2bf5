#include <easylogging++.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <iostream>
#include <string>

#include "mimosavalve/adapters/http_operator.hpp"
#include "mimosavalve/command/operator_client.hpp"
#include "mimosavalve/config/names.hpp"

INITIALIZE_EASYLOGGINGPP

namespace {

namespace command = mimosavalve::command;

constexpr int usage_error = static_cast<int>(command::outcome::bad_command);

struct arguments {
    command::client_settings client;
    std::string text;  ///< Empty: interactive.
};

// Splits "ip:port,ip:port"; throws on an address that is none.
std::vector<std::string> routers_of(const std::string& list, const std::string& argument) {
    std::vector<std::string> out;
    std::size_t start = 0;
    while (start <= list.size()) {
        const auto end = std::min(list.find(',', start), list.size());
        out.push_back(list.substr(start, end - start));
        if (!mimosavalve::config::is_endpoint(out.back())) {
            throw TCLAP::ArgException(
                "'" + out.back() + "' is not an IPv4 address and port, as in 127.0.0.1:8091",
                argument);
        }
        start = end + 1;
    }
    return out;
}

arguments read_arguments(int argc, const char* const* argv) {
    TCLAP::CmdLine line(
        "Runs an operator command on a mimosavalve fleet; the language is described in "
        "docs/commands.md. Without a command, commands are read from the input, one a line. Exit "
        "codes: 0 done, 1 refused, 2 usage or parse error, 3 unreachable, 4 may have run.",
        ' ', MV_VERSION);
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> routers("r", "router", "Admin addresses of routers", true, "",
                                         "ip:port[,ip:port...]", line);
    TCLAP::SwitchArg json("j", "json", "Print JSON instead of tables", line);
    TCLAP::ValueArg<unsigned> timeout("t", "timeout-ms", "Longest time for one answer", false,
                                      10'000, "milliseconds", line);
    TCLAP::UnlabeledValueArg<std::string> text("command", "The command", false, "", "command",
                                               line);
    line.parse(argc, argv);
    arguments out;
    out.client.routers = routers_of(routers.getValue(), "--router");
    out.client.format =
        json.getValue() ? command::output_format::json : command::output_format::table;
    out.client.timeout = std::chrono::milliseconds(timeout.getValue());
    out.text = text.getValue();
    return out;
}

int run_one(const command::client_settings& settings, const std::string& text) {
    const auto result = command::run_command(settings, text, mimosavalve::adapters::send_command);
    const bool results_only =
        settings.format == command::output_format::json || result.how == command::outcome::done;
    (results_only ? std::cout : std::cerr) << result.output << std::flush;
    return static_cast<int>(result.how);
}

bool is_skipped(const std::string& text) {
    const auto first = text.find_first_not_of(" \t\r");
    return first == std::string::npos || text[first] == '#';
}

// The exit code is that of the last command that was not done.
int run_interactive(const command::client_settings& settings) {
    const bool terminal = isatty(STDIN_FILENO) != 0;
    int code = 0;
    std::string text;
    while (true) {
        if (terminal) {
            std::cout << "mvctl> " << std::flush;
        }
        if (!std::getline(std::cin, text) || text == "quit") {
            return code;
        }
        if (!is_skipped(text)) {
            const int result = run_one(settings, text);
            code = result == 0 ? code : result;
        }
    }
}

}  // namespace

int main(int argc, char** argv) {
    try {
        const auto read = read_arguments(argc, argv);
        return read.text.empty() ? run_interactive(read.client) : run_one(read.client, read.text);
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException& error) {
        std::cerr << "mvctl: " << error.argId() << ": " << error.error() << "\n"
                  << "usage: mvctl --router ip:port[,ip:port...] [--json] [command]\n";
        return usage_error;
    }
}
