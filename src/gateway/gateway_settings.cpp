#include "mimosavalve/gateway/gateway_settings.hpp"

namespace mimosavalve::gateway {

std::string_view region_of(const region_map& regions, std::string_view failure_domain) {
    const auto found = regions.find(failure_domain);
    return found == regions.end() ? std::string_view() : std::string_view(found->second);
}

}  // namespace mimosavalve::gateway
