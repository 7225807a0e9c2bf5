#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>

#include "adapters/http_front_end_gate.hpp"
#include "adapters/http_front_end_worker.hpp"

using namespace mimosavalve;
using namespace mimosavalve::adapters;

// The leaders of two shards record a target as fresh at different versions. When each change
// between the shards restarted the slow start, the target stayed at one request from all routers.
TEST_CASE(
    "a target that two shards list is not restarted by switching between them [target_gate]") {
    boost::asio::io_context context;
    target_pool pool(context);
    ownership::target state;
    state.id = "status-1";
    state.address = "127.0.0.1:9";
    state.slots = 4;
    state.connections = 130;
    auto& target = pool.entry(state);
    front_end::gate_set gates;
    const shard_id first{"bagmati", 0};
    const shard_id second{"bagmati", 1};
    const version early{1, 3};
    const version late{1, 4};
    const auto gate_in = [&](const shard_id& shard, const version& since) -> auto& {
        state.fresh_since = since;
        return front_end::gate_of(gates, target, state, shard, 1);
    };
    auto& gate = gate_in(first, early);
    CHECK(gate.ramp.ramping);
    gate.ramp.ramping = false;
    CHECK_FALSE(gate_in(second, late).ramp.ramping);
    CHECK_FALSE(gate_in(first, early).ramp.ramping);
    CHECK_FALSE(gate_in(second, late).ramp.ramping);
    CHECK(gate_in(first, {1, 9}).ramp.ramping);
}
