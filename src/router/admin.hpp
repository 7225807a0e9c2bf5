#pragma once

#include <functional>
#include <string>
#include <system_error>

#include "mimosavalve/adapters/http_server.hpp"
#include "mimosavalve/control/control_plane.hpp"
#include "router/operator_service.hpp"

namespace mimosavalve::router {

/// HTTP port for operators, metrics and the platform's balancer, on the control thread.
///
/// `POST /command` runs a command; the header `Output` is "table" (default) or "json".
/// `GET /metrics` answers counters and histograms in the text exposition format.
/// `GET /ready` answers 200 while the router may serve every shard of its
/// region, else 503.
class admin {
public:
    admin(boost::asio::io_context& context, const std::string& address,
          const control::control_plane& plane, operator_service& operators,
          std::function<std::string()> metrics);

    std::error_code listen() { return server_.listen(); }

    /// "ip:port" with the port that the system chose.
    [[nodiscard]] std::string address() const { return server_.address(); }

private:
    adapters::http_response answer(const adapters::http_request& request,
                                   const boost::asio::yield_context& yield);
    adapters::http_response run_command(const adapters::http_request& request,
                                        const boost::asio::yield_context& yield);
    adapters::http_response readiness() const;

    const control::control_plane& plane_;
    operator_service& operators_;
    std::function<std::string()> metrics_;
    adapters::http_server server_;
};

}  // namespace mimosavalve::router
