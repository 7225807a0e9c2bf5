#include "mimosavalve/standins/hosts_data.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace standins = mimosavalve::standins;
using mimosavalve::steady_time;
using namespace std::chrono_literals;

namespace {

mimosavalve::ports::listed_host make_host(const std::string& id, std::uint32_t slots = 1) {
    mimosavalve::ports::listed_host host;
    host.id = id;
    host.slots = slots;
    return host;
}

standins::hosts_data with_lag(std::chrono::milliseconds lag) {
    standins::hosts_data data;
    data.lag = lag;
    return data;
}

}  // namespace

// A list without lag would hide that the router must notice losses by itself.
TEST_CASE("changes are shown after the lag and in their order [hosts_data]") {
    const steady_time start{1000s};
    auto data = with_lag(2s);
    standins::add_initial_hosts(data, {make_host("a"), make_host("b")});
    CHECK(standins::mark_leaving(data, "a", start));
    CHECK(standins::remove_host(data, "b", start + 1s));
    CHECK(!standins::remove_host(data, "b", start + 1s));
    CHECK(!standins::mark_leaving(data, "b", start + 1s));
    CHECK(standins::shown_hosts(data, start + 1999ms).size() == 2);
    CHECK(!standins::shown_hosts(data, start + 1999ms).front().leaving);
    CHECK(standins::shown_hosts(data, start + 2s).front().leaving);
    CHECK(standins::shown_hosts(data, start + 2s).size() == 2);
    CHECK(standins::shown_hosts(data, start + 3s).size() == 1);
}

TEST_CASE("a host that returns is shown as it is now [hosts_data]") {
    const steady_time start{1000s};
    auto data = with_lag(1s);
    standins::add_initial_hosts(data, {make_host("a")});
    standins::remove_host(data, "a", start);
    standins::put_host(data, make_host("a", 7), start);
    CHECK(standins::shown_hosts(data, start + 1s).front().slots == 7);
}
