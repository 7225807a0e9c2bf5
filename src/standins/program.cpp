#include "mimosavalve/standins/program.hpp"

#include <easylogging++.h>
#include <tclap/CmdLine.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>

namespace mimosavalve::standins {

program_arguments parse_arguments(int argc, const char* const* argv, const std::string& purpose) {
    program_arguments arguments;
    try {
        TCLAP::CmdLine line(purpose, ' ', MV_VERSION);
        line.setExceptionHandling(false);
        const TCLAP::ValueArg<std::string> config("", "config", "Settings in YAML.", true, "",
                                                  "file", line);
        line.parse(argc, argv);
        arguments.config_file = config.getValue();
    } catch (const TCLAP::ArgException& error) {
        std::cerr << error.argId() << ": " << error.error() << " (see --help)\n";
        arguments.exit_code = exit_bad_settings;
    } catch (const TCLAP::ExitException& end) {
        arguments.exit_code = end.getExitStatus();
    }
    return arguments;
}

int report_bad_settings(const std::vector<std::string>& errors) {
    for (const auto& error : errors) {
        std::cerr << error << "\n";
    }
    return exit_bad_settings;
}

bool write_port_file(const std::string& file, const std::string& address) {
    if (file.empty()) {
        return true;
    }
    const auto part = file + ".part";
    std::ofstream output(part);
    output << address.substr(address.rfind(':') + 1) << "\n";
    output.close();
    return output.good() && std::rename(part.c_str(), file.c_str()) == 0;
}

int run_server(boost::asio::io_context& context, adapters::http_server& server,
               const std::string& port_file, const std::function<void()>& on_stop) {
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code& error, int number) {
        if (!error) {
            LOG(INFO) << "signal " << number << ": finishing running requests";
            server.stop();
            on_stop();
        }
    });
    if (const auto error = server.listen()) {
        LOG(ERROR) << "cannot listen: " << error.message();
        return exit_failure;
    }
    if (!write_port_file(port_file, server.address())) {
        LOG(ERROR) << "cannot write the port file " << port_file;
        return exit_failure;
    }
    LOG(INFO) << "listening on " << server.address();
    context.run();
    return exit_success;
}

}  // namespace mimosavalve::standins
