#include <easylogging++.h>
#include <tclap/CmdLine.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "mimosavalve/load/program_arguments.hpp"
#include "mimosavalve/standins/target_server.hpp"
#include "mimosavalve/standins/target_settings.hpp"

INITIALIZE_EASYLOGGINGPP

namespace load = mimosavalve::load;
namespace standins = mimosavalve::standins;

namespace {

// Fields that differ between the instances of one settings file.
const std::vector<std::string> instance_fields{"id",     "listen",         "port_file",   "service",
                                               "region", "failure_domain", "history_file"};

int run(const standins::target_settings& settings) {
    boost::asio::io_context context(1);
    standins::target_server server(context, settings);
    // Set before the port file appears, since whoever reads that may send a signal at once.
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code error, int) {
        if (!error) {
            LOG(INFO) << "target " << settings.id << " leaves";
            server.leave();
        }
    });
    if (const auto error = server.start()) {
        std::cerr << "field 'listen' has value '" << settings.listen
                  << "', or a file can't be written: " << error.message()
                  << "; allowed: a free \"ip:port\", and writable files\n";
        return load::bad_settings_exit_code;
    }
    LOG(INFO) << "target " << settings.id << " listens on port " << server.port();
    context.run();
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    TCLAP::CmdLine command_line("stand-in of a platform target", ' ', MV_VERSION);
    TCLAP::ValueArg<std::string> config("c", "config", "settings in YAML", false, "", "file",
                                        command_line);
    const load::override_arguments overrides(command_line, instance_fields);
    int exit_code = 0;
    if (!load::parse_arguments(command_line, argc, argv, exit_code)) {
        return exit_code;
    }
    std::vector<load::settings_problem> problems;
    const auto settings =
        standins::read_target_settings(config.getValue(), overrides.values(), problems);
    if (!problems.empty()) {
        load::print_problems(std::cerr, problems);
        return load::bad_settings_exit_code;
    }
    return run(settings);
}
