#include <easylogging++.h>
#include <tclap/CmdLine.h>

#include <iostream>
#include <string>
#include <vector>

#include "mimosavalve/config/fleet_config_codec.hpp"
#include "mimosavalve/config/process_settings.hpp"
#include "mimosavalve/observe/log.hpp"
#include "mimosavalve/router/daemon.hpp"

INITIALIZE_EASYLOGGINGPP

namespace config = mimosavalve::config;
namespace router = mimosavalve::router;

namespace {

constexpr int exit_failure = 1;
constexpr int exit_invalid_settings = 2;

int report_faults(const std::vector<config::settings_fault>& faults) {
    for (const auto& fault : faults) {
        std::cerr << "mimosavalved: " << to_string(fault) << '\n';
    }
    return exit_invalid_settings;
}

int run(const std::string& settings_file, const std::string& port_file, bool check_only) {
    std::vector<config::settings_fault> faults;
    router::daemon_options options;
    options.port_file = port_file;
    auto settings = config::load_process_settings(settings_file, faults);
    if (settings && !settings->initial_config.empty()) {
        options.initial_config = config::load_fleet_config(settings->initial_config, faults);
    }
    if (!settings || !faults.empty()) {
        return report_faults(faults);
    }
    if (check_only) {
        std::cout << settings_file << ": the settings are valid\n";
        return 0;
    }
    options.settings = std::move(*settings);
    mimosavalve::observe::set_up_log(options.settings.log);
    router::daemon daemon(std::move(options));
    if (const auto error = daemon.start()) {
        std::cerr << "mimosavalved: cannot start: " << error.message() << '\n';
        return exit_failure;
    }
    daemon.run();
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine line("Router daemon of mimosavalve", ' ', MV_VERSION);
        TCLAP::ValueArg<std::string> settings("c", "config", "process settings in YAML", true, "",
                                              "file", line);
        TCLAP::ValueArg<std::string> port_file(
            "", "port-file",
            "file to write with a line 'NAME PORT' for each of callers, peers and admin", false, "",
            "file", line);
        TCLAP::SwitchArg check("", "check", "check the settings and exit", line);
        line.setExceptionHandling(false);
        line.parse(argc, argv);
        return run(settings.getValue(), port_file.getValue(), check.getValue());
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException& error) {
        std::cerr << "mimosavalved: " << error.error() << " " << error.argId() << '\n';
        return exit_invalid_settings;
    } catch (const std::exception& error) {
        std::cerr << "mimosavalved: " << error.what() << '\n';
        return exit_failure;
    }
}
