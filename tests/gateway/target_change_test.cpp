#include <doctest/doctest.h>

#include "path_fixture.hpp"

using namespace mimosavalve::gateway;
using namespace mimosavalve::gateway::testing;
using std::chrono::milliseconds;

// The requests in flight were subtracted from the count of the new entry, which wrapped around:
// the target was over its limit until the router was restarted.
TEST_CASE("a target whose entry was gone during a request is used again [target_change]") {
    path_fixture path(request_kind::non_idempotent);
    path.post("r1");
    path.settle();
    REQUIRE(path.target.received.size() == 1);
    const auto entry = path.core.state.registry.targets.at("t1");
    path.core.state.registry.targets.clear();
    update_targets(path.core.state, boot_clock::now());
    path.core.state.registry.targets.emplace("t1", entry);
    update_targets(path.core.state, boot_clock::now());
    path.target.answer(0, good_answer);
    CHECK(path.receive("hello").find("200 OK") != std::string::npos);
    CHECK(path.core.state.targets.at("t1")->running == 0);
    CHECK(path.core.state.targets.at("t1")->open_connections == 0);
    path.target.script = {good_answer};
    path.post("r2");
    CHECK(path.receive("hello").find("200 OK") != std::string::npos);
    CHECK(path.core.state.targets.at("t1")->running == 0);
    CHECK(path.core.state.targets.at("t1")->open_connections == 1);
}
