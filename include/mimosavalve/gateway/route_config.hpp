#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mimosavalve::gateway {

/// What may be repeated. Uploads are non-idempotent requests with large bodies.
enum class request_kind { idempotent, non_idempotent, upload };

std::string_view to_string(request_kind kind);

struct weighted_service {
    std::string service;
    double weight = 1;
};

/// Requests of one host name below one path prefix.
struct route {
    std::string name;
    std::string host;
    std::string prefix;  ///< Begins and ends with a slash.
    request_kind kind = request_kind::idempotent;
    std::chrono::milliseconds timeout{0};    ///< Longest time that a caller waits for any answer.
    std::chrono::milliseconds objective{0};  ///< Time within which an answer is of full use.
    std::uint32_t most_targets = 1;          ///< Targets that one attempt may be sent to.
    std::uint32_t priority = 0;              ///< 0 is served first.
    std::vector<weighted_service> services;  ///< One, or the parts of a split.
    std::vector<std::string> home_regions;   ///< Empty: no bound.
};

struct service {
    std::string name;
    std::uint32_t most_connections = 0;  ///< Of one target, from all callers together; 0: no bound.
    std::chrono::milliseconds cold_time{0};
    double cold_requests_per_second = 0;  ///< What a cold target bears from all routers together.
    bool keyed = false;                   ///< Each key is served by its owner only.
};

/// Bounds for what callers send and how long they take.
struct caller_limits {
    std::uint32_t header_bytes = 16384;
    std::uint64_t body_bytes = 64ULL << 20U;
    std::chrono::milliseconds header_time{3000};
    std::chrono::milliseconds idle_time{15000};
};

/// One version of the operators' configuration.
struct route_config {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, service> services;
    caller_limits limits;
};

/// Finds the route with the longest prefix of a host.
class route_index {
public:
    route_index() = default;
    explicit route_index(const route_config& config);

    /// Position in `route_config::routes`; nothing when no prefix begins the path.
    [[nodiscard]] std::optional<std::size_t> find(std::string_view host,
                                                  std::string_view path) const;

private:
    std::map<std::string, std::size_t, std::less<>> by_place_;  // Host and prefix in one string.
};

/// What is wrong with a configuration that would replace `current`; empty when nothing is.
std::string problem_of(const route_config& candidate, std::uint64_t current_version);

}  // namespace mimosavalve::gateway
