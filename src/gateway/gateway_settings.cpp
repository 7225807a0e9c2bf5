#include "mimosavalve/gateway/gateway_settings.hpp"

namespace mimosavalve::gateway {

std::string region_of(const gateway_settings& settings, const std::string& failure_domain) {
    const auto found = settings.regions.find(failure_domain);
    return found == settings.regions.end() ? std::string() : found->second;
}

}  // namespace mimosavalve::gateway
