#include "router/admin_server.hpp"

#include "router/clock.hpp"
#include "router/readiness.hpp"

namespace mimosavalve::router {

namespace http = boost::beast::http;

namespace detail {

adapters::http_server_options server_options_of(const std::string& address) {
    adapters::http_server_options options;
    options.address = address;
    return options;
}

}  // namespace detail

admin_server::admin_server(boost::asio::io_context& context, const std::string& address,
                           const control::control_plane& plane, operator_service& operators,
                           std::function<std::string()> metrics)
    : plane_(plane),
      operators_(operators),
      metrics_(std::move(metrics)),
      server_(context, detail::server_options_of(address),
              [this](const adapters::http_request& request,
                     const boost::asio::yield_context& yield) { return respond(request, yield); }) {
}

adapters::http_response admin_server::respond(const adapters::http_request& request,
                                              const boost::asio::yield_context& yield) {
    if (request.target() == "/command") {
        return respond_to_command(request, yield);
    }
    if (request.target() == "/ready") {
        return respond_to_readiness();
    }
    if (request.target() == "/metrics") {
        return adapters::make_response(http::status::ok, metrics_(), "text/plain; version=0.0.4");
    }
    return adapters::make_response(http::status::not_found,
                                   "unknown path; known paths: /command /metrics /ready\n");
}

adapters::http_response admin_server::respond_to_command(const adapters::http_request& request,
                                                         const boost::asio::yield_context& yield) {
    if (request.method() != http::verb::post) {
        return adapters::make_response(http::status::method_not_allowed, "use POST\n");
    }
    const auto result = operators_.run_command(request.body(), yield);
    const bool json = request["Output"] == "json";
    auto response =
        adapters::make_response(static_cast<http::status>(command::http_status_of(result.how)),
                                json ? command::to_json(result) : command::to_table(result),
                                json ? "application/json" : "text/plain");
    response.set("Command-Outcome", std::string(command::to_string(result.how)));
    return response;
}

adapters::http_response admin_server::respond_to_readiness() const {
    const auto snapshot = plane_.snapshot();
    const bool ready = snapshot && is_ready(*snapshot, steady_now());
    return adapters::make_response(
        ready ? http::status::ok : http::status::service_unavailable,
        ready ? "ready\n" : "no serving lease for at least one shard of the region\n");
}

}  // namespace mimosavalve::router
