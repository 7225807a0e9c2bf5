#pragma once

#include <functional>
#include <string>
#include <system_error>

#include "mimosavalve/adapters/http_server.hpp"
#include "mimosavalve/control/control_plane.hpp"
#include "router/operator_service.hpp"

namespace mimosavalve::router {

/// HTTP server for operators, metrics and the platform's load balancer; runs on the control thread.
///
/// `POST /command` runs a command; the header `Output` is "table" (default) or "json".
/// `GET /metrics` returns counters and histograms in the text exposition format.
/// `GET /ready` returns 200 while the router may serve every shard of its region, else 503.
class admin_server {
public:
    admin_server(boost::asio::io_context& context, const std::string& address,
                 const control::control_plane& plane, operator_service& operators,
                 std::function<std::string()> metrics);

    std::error_code listen() { return server_.listen(); }

    /// "ip:port" of the bound socket, with the actual port when port 0 was configured.
    [[nodiscard]] std::string address() const { return server_.address(); }

private:
    adapters::http_response respond(const adapters::http_request& request,
                                    const boost::asio::yield_context& yield);
    adapters::http_response respond_to_command(const adapters::http_request& request,
                                               const boost::asio::yield_context& yield);
    adapters::http_response respond_to_readiness() const;

    const control::control_plane& plane_;
    operator_service& operators_;
    std::function<std::string()> metrics_;
    adapters::http_server server_;
};

}  // namespace mimosavalve::router
