#include "gateway/event_loop.hpp"

#include <doctest/doctest.h>

#include <boost/asio/post.hpp>
#include <stdexcept>
#include <string>
#include <vector>

using namespace mimosavalve::gateway;

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
