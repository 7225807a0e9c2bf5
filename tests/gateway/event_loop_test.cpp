#include "gateway/event_loop.hpp"

#include <doctest/doctest.h>

#include <boost/asio/post.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "election_fixture.hpp"
#include "gateway/fleet_control.hpp"

using namespace mimosavalve;
using namespace mimosavalve::gateway;
using namespace mimosavalve::gateway::testing;

// An exception of one handler ended the process, and with it the requests of all callers.
TEST_CASE("a handler that throws ends neither the loop nor other handlers [event_loop]") {
    boost::asio::io_context context;
    std::vector<std::string> failures;
    int handled = 0;
    for (const auto* problem : {"first", "second"}) {
        boost::asio::post(context, [problem] { throw std::runtime_error(problem); });
        boost::asio::post(context, [&] { ++handled; });
    }
    run_event_loop(context,
                   [&](const std::exception& error) { failures.emplace_back(error.what()); });
    CHECK(handled == 2);
    CHECK(failures == std::vector<std::string>{"first", "second"});
}

// A leader went on with a move of keys that the failed handler had left half done.
TEST_CASE("a leader whose handler has failed gives up its leadership [event_loop]") {
    boost::asio::io_context context;
    election_store store(context);
    observe::decision_log log(open("/dev/null", O_WRONLY | O_CLOEXEC));
    router_core core(context, {}, log);
    core.settings.host = "h1";
    core.defer = [&](std::function<void()> step) { boost::asio::post(context, std::move(step)); };
    core.wake_waiting = [] {};
    core.deadlines_changed = [] {};
    store.install(core);
    call_client calls(context);
    fleet_control control(core, calls);
    control.start();
    const auto run_until_term = [&](std::uint64_t number) {
        for (int round = 0; round < 400; ++round) {
            if (core.metrics.counters["terms_as_leader"] >= number) {
                return true;
            }
            context.run_for(milliseconds(20));
            context.restart();
        }
        return false;
    };
    REQUIRE(run_until_term(1));
    control.on_failed_handler();
    // Nobody else stands for election, so its next term shows the end of the first one.
    CHECK(run_until_term(2));
}
