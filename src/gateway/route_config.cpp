#include "mimosavalve/gateway/route_config.hpp"

#include <algorithm>

namespace mimosavalve::gateway {

namespace detail {

std::string problem_of_route(const route& checked, const operator_config& config) {
    if (checked.host.empty()) {
        return "has no host name";
    }
    if (checked.prefix.empty() || checked.prefix.front() != '/' || checked.prefix.back() != '/') {
        return "has a prefix that does not begin and end with a slash: " + checked.prefix;
    }
    if (checked.services.empty()) {
        return "names no service";
    }
    if (checked.max_attempts == 0) {
        return "allows no attempt";
    }
    if (checked.timeout.count() <= 0) {
        return "has no time-out";
    }
    double weights = 0;
    for (const auto& part : checked.services) {
        if (!config.services.contains(part.service)) {
            return "names the unknown service " + part.service;
        }
        if (part.weight < 0) {
            return "has a negative weight for " + part.service;
        }
        weights += part.weight;
    }
    return weights > 0 ? "" : "has no weight above 0";
}

}  // namespace detail

// Host names compare without case and without a port (RFC 9110, 4.2.3).
std::string normalized_host(std::string_view host) {
    std::string out(host.substr(0, host.find(':')));
    std::transform(out.begin(), out.end(), out.begin(), [](unsigned char character) {
        return static_cast<char>(character >= 'A' && character <= 'Z' ? character + ('a' - 'A')
                                                                      : character);
    });
    return out;
}

std::string_view to_string(request_kind kind) {
    switch (kind) {
        case request_kind::idempotent:
            return "idempotent";
        case request_kind::non_idempotent:
            return "non-idempotent";
        case request_kind::upload:
            return "upload";
        case request_kind::download:
            return "download";
    }
    return "unknown";
}

route_index::route_index(const operator_config& config) {
    for (std::size_t index = 0; index < config.routes.size(); ++index) {
        const auto& added = config.routes[index];
        index_by_host_and_prefix_.insert_or_assign(normalized_host(added.host) + added.prefix,
                                                   index);
    }
}

std::optional<std::size_t> route_index::find(std::string_view host, std::string_view path) const {
    auto host_and_prefix = normalized_host(host);
    const auto host_size = host_and_prefix.size();
    host_and_prefix.append(path);
    while (host_and_prefix.size() > host_size) {
        const auto slash = host_and_prefix.rfind('/');
        if (slash == std::string::npos || slash < host_size) {
            break;
        }
        host_and_prefix.resize(slash + 1);
        const auto found = index_by_host_and_prefix_.find(host_and_prefix);
        if (found != index_by_host_and_prefix_.end()) {
            return found->second;
        }
        host_and_prefix.resize(slash);
    }
    return std::nullopt;
}

std::string problem_of(const operator_config& candidate, std::uint64_t current_version) {
    if (candidate.version <= current_version) {
        return "version " + std::to_string(candidate.version) + " is not above version " +
               std::to_string(current_version) + " in force";
    }
    std::map<std::string, std::string> route_names;
    for (const auto& checked : candidate.routes) {
        const auto problem = detail::problem_of_route(checked, candidate);
        if (!problem.empty()) {
            return "route " + checked.name + " " + problem;
        }
        const auto host_and_prefix = normalized_host(checked.host) + checked.prefix;
        const auto [other, added] = route_names.try_emplace(host_and_prefix, checked.name);
        if (!added) {
            return "routes " + other->second + " and " + checked.name +
                   " have the same host and prefix " + host_and_prefix;
        }
    }
    return {};
}

}  // namespace mimosavalve::gateway
