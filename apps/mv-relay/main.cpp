#include <easylogging++.h>
#include <tclap/CmdLine.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fstream>
#include <iostream>
#include <string>
#include <thread>

INITIALIZE_EASYLOGGINGPP

// The smallest HTTP relay that the benchmark compares the router with: one blocking thread and one
// target connection per caller connection, no limits, no checks, whole messages.
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr int exit_usage = 2;

tcp::endpoint parse_endpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument("address '" + text + "' is not of the form ip:port");
    }
    const auto port = static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)));
    return {asio::ip::make_address(text.substr(0, colon)), port};
}

void relay_connection(tcp::socket caller, const tcp::endpoint& target_endpoint) {
    beast::error_code error;
    asio::io_context context;
    tcp::socket target(context);
    target.connect(target_endpoint, error);
    caller.set_option(tcp::no_delay(true), error);
    target.set_option(tcp::no_delay(true), error);
    beast::flat_buffer caller_buffer;
    beast::flat_buffer target_buffer;
    while (!error) {
        http::request<http::string_body> request;
        http::read(caller, caller_buffer, request, error);
        if (error) {
            break;
        }
        http::write(target, request, error);
        if (error) {
            break;
        }
        http::response<http::string_body> response;
        http::read(target, target_buffer, response, error);
        if (error) {
            break;
        }
        http::write(caller, response, error);
    }
}

void serve(const std::string& listen, const std::string& target, const std::string& port_file) {
    asio::io_context context;
    tcp::acceptor acceptor(context, parse_endpoint(listen));
    const auto target_endpoint = parse_endpoint(target);
    if (!port_file.empty()) {
        std::ofstream(port_file) << acceptor.local_endpoint().port() << '\n';
    }
    for (;;) {
        std::thread(relay_connection, acceptor.accept(), target_endpoint).detach();
    }
}

}  // namespace

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine line("Minimal relay, the baseline of the benchmark", ' ', MV_VERSION);
        TCLAP::ValueArg<std::string> listen("", "listen",
                                            "address for callers; port 0: any free port", false,
                                            "127.0.0.1:0", "ip:port", line);
        TCLAP::ValueArg<std::string> target("", "target", "address of the target", true, "",
                                            "ip:port", line);
        TCLAP::ValueArg<std::string> port_file(
            "", "port-file", "file to write the chosen port into", false, "", "file", line);
        line.parse(argc, argv);
        serve(listen.getValue(), target.getValue(), port_file.getValue());
    } catch (const TCLAP::ArgException& error) {
        std::cerr << "mv-relay: " << error.error() << " " << error.argId() << '\n';
        return exit_usage;
    } catch (const std::exception& error) {
        std::cerr << "mv-relay: " << error.what() << '\n';
        return exit_usage;
    }
    return 0;
}
