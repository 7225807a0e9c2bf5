#include "router/admin.hpp"

#include <algorithm>
#include <chrono>

namespace mimosavalve::router {

namespace http = boost::beast::http;

namespace detail {

adapters::http_server_options server_options(const std::string& address) {
    adapters::http_server_options options;
    options.address = address;
    return options;
}

bool is_ready(const routing_snapshot& snapshot, steady_time now) {
    const auto serves = [&](const shard_view& view) { return view.serving_lease->until() > now; };
    const bool complete = snapshot.config != nullptr && !snapshot.shards.empty() &&
                          snapshot.shards.size() ==
                              snapshot.config->regions.size() * snapshot.config->shards_per_region;
    return complete && std::all_of(snapshot.shards.begin(), snapshot.shards.end(), serves);
}

}  // namespace detail

admin::admin(boost::asio::io_context& context, const std::string& address,
             const control::control_plane& plane)
    : plane_(plane),
      server_(context, detail::server_options(address),
              [this](const adapters::http_request& request, const boost::asio::yield_context&) {
                  return answer(request);
              }) {}

adapters::http_response admin::answer(const adapters::http_request& request) const {
    if (request.target() == "/ready") {
        const auto snapshot = plane_.snapshot();
        const bool ready =
            snapshot && detail::is_ready(*snapshot, std::chrono::steady_clock::now());
        return adapters::make_response(ready ? http::status::ok : http::status::service_unavailable,
                                       ready ? "ready\n" : "no serving lease for some shard\n");
    }
    return adapters::make_response(http::status::not_found, "unknown path\n");
}

}  // namespace mimosavalve::router
