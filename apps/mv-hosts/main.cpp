#include <easylogging++.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "mimosavalve/standins/hosts_service.hpp"
#include "mimosavalve/standins/hosts_settings.hpp"
#include "mimosavalve/standins/program.hpp"

INITIALIZE_EASYLOGGINGPP

namespace standins = mimosavalve::standins;

int main(int argc, char** argv) {
    const auto arguments =
        standins::parse_arguments(argc, argv, "Stand-in of the platform's host list");
    if (arguments.exit_code) {
        return *arguments.exit_code;
    }
    std::vector<std::string> errors;
    const auto settings = standins::load_hosts_settings(arguments.config_file, errors);
    if (!errors.empty()) {
        return standins::report_bad_settings(errors);
    }
    boost::asio::io_context context;
    const auto data = std::make_shared<standins::hosts_data>();
    data->lag = settings.lag;
    standins::add_initial_hosts(*data, settings.hosts);
    mimosavalve::adapters::http_server server(context, {.address = settings.listen},
                                              standins::make_hosts_handler(data));
    return standins::run_server(context, server, settings.port_file, [] {});
}
