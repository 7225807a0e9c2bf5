#include <easylogging++.h>

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "mimosavalve/standins/program.hpp"
#include "mimosavalve/standins/store_service.hpp"
#include "mimosavalve/standins/store_settings.hpp"

INITIALIZE_EASYLOGGINGPP

namespace standins = mimosavalve::standins;

int main(int argc, char** argv) {
    const auto arguments =
        standins::parse_arguments(argc, argv, "Stand-in of the platform's key-value store");
    if (arguments.exit_code) {
        return *arguments.exit_code;
    }
    std::vector<std::string> errors;
    const auto settings = standins::load_store_settings(arguments.config_file, errors);
    if (!errors.empty()) {
        return standins::report_bad_settings(errors);
    }
    boost::asio::io_context context;
    standins::store_service service(context, settings.service);
    mimosavalve::adapters::http_server server(context, {.address = settings.listen},
                                              service.handler());
    return standins::run_server(context, server, settings.port_file, [&] { service.stop(); });
}
