#include <tclap/CmdLine.h>

#include <iostream>

#include "mimosavalve/gateway/gateway_daemon.hpp"
#include "platform.hpp"
#include "platform_settings.hpp"

namespace {

namespace gateway = mimosavalve::gateway;
namespace platform = mimosavalve::platform;

int check_settings(const std::string& path) {
    std::string problem;
    if (platform::read_settings(path, problem)) {
        std::cout << path << ": the settings can be used\n";
        return 0;
    }
    std::cerr << "mimosavalve-gate: " << problem << "\n";
    return 2;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine line(
            "Routes callers' requests to the targets that own their keys, on the "
            "users' platform.",
            ' ', MV_VERSION);
        TCLAP::ValueArg<std::string> settings_arg(
            "s", "settings", "Settings file; by default the one that the platform names", false,
            platform::settings_path(), "path", line);
        TCLAP::SwitchArg check_arg("", "check", "Check the settings file and exit", line);
        line.parse(argc, argv);
        const auto path = settings_arg.getValue();
        if (check_arg.getValue()) {
            return check_settings(path);
        }
        gateway::daemon_binding binding;
        binding.settings_path = path;
        binding.read_settings = [path](std::string& problem) {
            return platform::read_settings(path, problem);
        };
        binding.make_platform = [](const gateway::platform_clients& clients,
                                   const gateway::gateway_settings& settings) {
            return platform::make_platform(clients,
                                           gateway::parse_endpoint(settings.store_address).value());
        };
        return gateway::run_gateway(binding);
    } catch (const TCLAP::ArgException& error) {
        std::cerr << "mimosavalve-gate: " << error.error() << " " << error.argId() << "\n";
        return 2;
    }
}
