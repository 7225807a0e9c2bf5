// Connections of a router to a target whose limit all routers share.
#include <doctest/doctest.h>

#include <boost/asio/ip/tcp.hpp>

#include "mimosavalve/gateway/connection_share.hpp"
#include "mimosavalve/gateway/target_table.hpp"
#include "path_fixture.hpp"

using namespace mimosavalve::gateway;

namespace {

constexpr boot_time start{milliseconds(100000)};

/// Customer 1: 60 routers, a target with 2 slots that accepts 420 connections.
routing_state make_state() {
    routing_state state;
    service kind;
    kind.name = "rosters";
    kind.max_connections = 420;
    state.config.services["rosters"] = kind;
    target_entry entry;
    entry.id = "t1";
    entry.service = "rosters";
    entry.slots = 2;
    state.registry.targets.emplace("t1", entry);
    state.router_count = 60;
    update_targets(state, {});
    return state;
}

}  // namespace

// Guards against opening connections again at once to a target that has just reset some.
TEST_CASE("a reset of a new connection halves the router's connections [connection_share]") {
    auto state = make_state();
    auto& target = *state.targets.at("t1");
    const auto& kind = state.config.services.at("rosters");
    CHECK(own_connection_limit(state, target, kind, start) == 6);
    CHECK(own_concurrency_limit(state, target, kind, start) == 6);
    target.open_connections = 6;
    CHECK(record_connection_reset(state, target, start - milliseconds(2), start));
    CHECK(own_concurrency_limit(state, target, kind, start) == 3);
    // Others that were opened before the first reset was seen belong to it.
    CHECK_FALSE(record_connection_reset(state, target, start - milliseconds(1), start));
    CHECK(own_concurrency_limit(state, target, kind, start + milliseconds(1099)) == 3);
    CHECK(own_concurrency_limit(state, target, kind, start + milliseconds(1100)) == 4);
    CHECK(own_concurrency_limit(state, target, kind, start + milliseconds(1300)) == 6);
    CHECK(own_concurrency_limit(state, target, kind, start + milliseconds(60000)) == 6);
    const auto again = start + milliseconds(1100);
    for (int number = 0; number < 4; ++number) {
        record_connection_reset(state, target, again + milliseconds(number),
                                again + milliseconds(number));
    }
    CHECK(own_concurrency_limit(state, target, kind, again) == 1);
}

TEST_CASE("without a reset nothing but the share limits connections [connection_share]") {
    auto state = make_state();
    auto& target = *state.targets.at("t1");
    auto& kind = state.config.services.at("rosters");
    kind.max_connections = 0;
    CHECK_FALSE(own_connection_limit(state, target, kind, start));
    CHECK(own_concurrency_limit(state, target, kind, start) == 6);
    // A target whose service names no limit may have one nevertheless.
    target.open_connections = 4;
    record_connection_reset(state, target, start, start);
    CHECK(own_concurrency_limit(state, target, kind, start) == 2);
}

// Guards against treating a full target as one that cannot be reached, which no router would use
// for a second.
TEST_CASE("a connection that is reset before the request counts as not run [connection_share]") {
    using boost::asio::ip::tcp;
    testing::path_fixture path(request_kind::non_idempotent);
    boost::asio::io_context other;
    tcp::acceptor full(other, {boost::asio::ip::address_v4::loopback(), 0});
    full.non_blocking(true);
    auto& target = *path.core.state.targets.at("t1");
    target.entry.address = "127.0.0.1:" + std::to_string(full.local_endpoint().port());
    path.post("a1");
    // The reset arrives before the router learns that the connection is open.
    bool was_reset = false;
    for (int step = 0; step < 1000 && !was_reset; ++step) {
        path.context.run_one_for(milliseconds(5));
        path.context.restart();
        tcp::socket connection(other);
        boost::system::error_code error;
        full.accept(connection, error);
        if (!error) {
            connection.set_option(boost::asio::socket_base::linger(true, 0));
            connection.close();
            was_reset = true;
        }
    }
    REQUIRE(was_reset);
    const auto answer = path.receive("\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("Mimosavalve-Verdict: not-run") != std::string::npos);
    CHECK(target.consecutive_failed_connects == 0);
    CHECK(target.backoff.limit == 1);
    CHECK(target.running == 0);
    CHECK(target.open_connections == 0);
}
