#include <easylogging++.h>
#include <tclap/CmdLine.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "mimosavalve/load/load_runner.hpp"
#include "mimosavalve/load/load_settings.hpp"
#include "mimosavalve/load/program_arguments.hpp"

INITIALIZE_EASYLOGGINGPP

namespace load = mimosavalve::load;

namespace {

const std::vector<std::string> override_fields{
    "mode",    "rate",           "duration_ms", "count", "connections", "timeout_ms",
    "repeats", "repeat_wait_ms", "seed",        "run",   "history_file"};

int run(const load::load_settings& settings) {
    boost::asio::io_context context(1);
    load::load_runner runner(context, settings);
    if (const auto error = runner.start()) {
        std::cerr << "field 'history_file' has value '" << settings.history_file
                  << "': " << error.message() << "; allowed: a writable file\n";
        return load::bad_settings_exit_code;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code error, int) {
        if (!error) {
            runner.stop();
        }
    });
    // The waiting signal counts as work, so the context alone would never end.
    while (!runner.finished() && context.run_one() > 0) {
    }
    load::print(std::cout, runner.summary(), runner.run_time());
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    TCLAP::CmdLine command_line("load program of mimosavalve", ' ', MV_VERSION);
    TCLAP::ValueArg<std::string> config("c", "config", "settings in YAML", false, "", "file",
                                        command_line);
    TCLAP::MultiArg<std::string> routers("r", "router",
                                         "ip:port[@region]; replaces the field routers", false,
                                         "address", command_line);
    const load::override_arguments overrides(command_line, override_fields);
    int exit_code = 0;
    if (!load::parse_arguments(command_line, argc, argv, exit_code)) {
        return exit_code;
    }
    std::vector<load::settings_problem> problems;
    const auto settings = load::read_load_settings(config.getValue(), overrides.values(),
                                                   routers.getValue(), problems);
    if (!problems.empty()) {
        load::print_problems(std::cerr, problems);
        return load::bad_settings_exit_code;
    }
    return run(settings);
}
