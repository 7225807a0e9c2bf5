#pragma once

#include <string>

#include "path_fixture.hpp"

namespace mimosavalve::gateway::testing {

/// Path whose requests have a dispatcher: the scripted target plays it.
struct dispatched_path : path_fixture {
    explicit dispatched_path(request_kind kind) : path_fixture(kind) {
        core.settings.host = "h1";
        name(target.address());
    }
    void name(const std::string& address) {
        apply_dispatchers(
            core.state.dispatchers,
            {{region_destination("orders", core.state.own_region), {{"h2", address}}}});
        core.state.dispatchers.valid_until = boot_clock::now() + dispatch_validity;
    }
};

}  // namespace mimosavalve::gateway::testing
