#pragma once

#include <string>
#include <system_error>

#include "mimosavalve/adapters/http_server.hpp"
#include "mimosavalve/control/control_plane.hpp"

namespace mimosavalve::router {

/// HTTP port for operators and the platform's balancer, on the control thread.
///
/// `GET /ready` answers 200 while the router may serve every shard of its region, else 503.
class admin {
public:
    admin(boost::asio::io_context& context, const std::string& address,
          const control::control_plane& plane);

    std::error_code listen() { return server_.listen(); }

    /// "ip:port" with the port that the system chose.
    [[nodiscard]] std::string address() const { return server_.address(); }

private:
    adapters::http_response answer(const adapters::http_request& request) const;

    const control::control_plane& plane_;
    adapters::http_server server_;
};

}  // namespace mimosavalve::router
