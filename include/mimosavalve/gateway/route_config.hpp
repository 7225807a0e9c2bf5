#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mimosavalve::gateway {

/// Kind of a request, which decides whether it may be sent again after it reached a target. Uploads
/// are non-idempotent requests with large bodies, downloads idempotent ones with large answers. The
/// numbers are used on the wire between routers.
enum class request_kind { idempotent = 0, non_idempotent = 1, upload = 2, download = 3 };

std::string_view to_string(request_kind kind);

/// Whether a request may be sent again although it may have run.
constexpr bool is_idempotent(request_kind kind) {
    return kind == request_kind::idempotent || kind == request_kind::download;
}

/// Whether requests or answers of the kind have large bodies.
constexpr bool is_large(request_kind kind) {
    return kind == request_kind::upload || kind == request_kind::download;
}

struct weighted_service {
    std::string service;
    double weight = 1;

    bool operator==(const weighted_service&) const = default;
};

/// Rules for the requests to one host name and path prefix.
struct route {
    std::string name;
    std::string host;
    std::string prefix;  ///< Begins and ends with a slash.
    request_kind kind = request_kind::idempotent;
    std::chrono::milliseconds timeout{0};    ///< Maximum time until any answer.
    std::chrono::milliseconds objective{0};  ///< Time within which an answer is of full use.
    /// Maximum number of sends of an idempotent request when answers are lost.
    std::uint32_t max_attempts = 1;
    std::uint32_t priority = 0;              ///< 0 is served first.
    std::vector<weighted_service> services;  ///< One service, or the parts of a weighted split.
    std::vector<std::string> home_regions;   ///< Allowed regions; empty: any.

    bool operator==(const route&) const = default;
};

struct service {
    std::string name;
    std::uint32_t max_connections = 0;  ///< To one target, over all routers; 0: no limit.
    std::chrono::milliseconds cold_time{0};
    double cold_requests_per_second = 0;  ///< Limit of a cold target, over all routers.
    bool keyed = false;                   ///< Each key is served only by its owner.
};

/// Limits on the size and the duration of what callers send.
struct caller_limits {
    std::uint32_t max_header_bytes = 16384;
    std::uint64_t max_body_bytes = 64ULL << 20U;
    std::chrono::milliseconds header_timeout{3000};
    std::chrono::milliseconds idle_timeout{15000};
};

/// One version of the operators' configuration.
struct operator_config {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, service> services;
    caller_limits limits;
};

/// Host name for comparison: without case and without a port.
std::string normalized_host(std::string_view host);

/// Finds the route of a host with the longest matching path prefix.
class route_index {
public:
    route_index() = default;
    explicit route_index(const operator_config& config);

    /// Position in `operator_config::routes`; nothing if no prefix of the host matches the path.
    [[nodiscard]] std::optional<std::size_t> find(std::string_view host,
                                                  std::string_view path) const;

private:
    // Keys are the host followed by the prefix.
    std::map<std::string, std::size_t, std::less<>> index_by_host_and_prefix_;
};

/// Problem of a configuration that is to replace the one of `current_version`; empty if there is
/// none.
std::string problem_of(const operator_config& candidate, std::uint64_t current_version);

}  // namespace mimosavalve::gateway
