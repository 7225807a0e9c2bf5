#include "mimosavalve/adapters/http_host_list.hpp"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/status.hpp>
#include <memory>
#include <string>
#include <vector>

#include "loopback.hpp"
#include "mimosavalve/adapters/host_json.hpp"
#include "mimosavalve/adapters/http_server.hpp"
#include "mimosavalve/core/error.hpp"
#include "mimosavalve/standins/hosts_service.hpp"

namespace adapters = mimosavalve::adapters;
namespace http = boost::beast::http;
namespace ports = mimosavalve::ports;
namespace standins = mimosavalve::standins;
using mimosavalve::errc;
using namespace std::chrono_literals;

namespace {

using list_outcome = loopback::outcome<std::vector<ports::listed_host>>;

const ports::listed_host worker{.id = "status-1",
                                .role = "target",
                                .service = "status",
                                .address = "127.0.0.1:4001",
                                .region = "bagmati",
                                .failure_domain = "bagmati-a",
                                .slots = 4,
                                .connections = 130,
                                .leaving = false};

list_outcome read_list(boost::asio::io_context& context, const std::string& address,
                       std::chrono::milliseconds time = 5s) {
    const adapters::http_host_list client(context, address);
    return loopback::await<std::vector<ports::listed_host>>(
        context, [&](auto done) { client.port().read(loopback::in(time), done); });
}

}  // namespace

TEST_CASE("the list is read with all fields of its hosts [http_host_list]") {
    boost::asio::io_context context;
    const auto data = std::make_shared<standins::hosts_data>();
    standins::add_initial_hosts(*data, {worker});
    adapters::http_server server(context, {}, standins::make_hosts_handler(data));
    REQUIRE(!server.listen());
    CHECK(read_list(context, server.address()).value == std::vector{worker});
    standins::mark_leaving(*data, "status-1", std::chrono::steady_clock::now());
    const auto changed = read_list(context, server.address());
    REQUIRE(changed.value.size() == 1);
    CHECK(changed.value.front().leaving);
}

// A list that dropped a malformed entry would look as if that host were gone.
TEST_CASE("a list with any invalid entry is refused as a whole [http_host_list]") {
    const auto valid = adapters::encode_hosts({&worker, 1});
    CHECK(adapters::decode_hosts(valid) == std::vector{worker});
    const auto entry = valid.substr(1, valid.size() - 2);
    const std::vector<std::string> broken{
        "",
        "{}",
        "[1]",
        valid.substr(0, valid.size() - 3),
        "[" + entry + "," + entry + "]",
        "[" + entry + ",{}]",
        R"([{"id":"a","role":"target","address":"nowhere"}])",
        R"([{"id":"a","role":"chair","address":"127.0.0.1:1"}])",
        R"([{"id":"a","role":"target","address":"127.0.0.1:1","slots":0}])",
        R"([{"id":"a","role":"target","address":"127.0.0.1:1","slots":99999999999}])",
        R"([{"id":"a","role":"target","address":"127.0.0.1:1","leaving":"no"}])",
    };
    boost::asio::io_context context;
    std::string body;
    adapters::http_server server(context, {}, [&](const auto&, const auto&) {
        return adapters::make_response(http::status::ok, body);
    });
    REQUIRE(!server.listen());
    for (const auto& text : broken) {
        CAPTURE(text);
        body = text;
        CHECK(read_list(context, server.address()).error == errc::malformed_message);
    }
}

TEST_CASE("a list that cannot be read is an error in time [http_host_list]") {
    boost::asio::io_context context;
    CHECK(read_list(context, "127.0.0.1:1").error == errc::peer_unreachable);
    CHECK(read_list(context, "nowhere").error == errc::peer_unreachable);
    adapters::http_server failing(context, {}, [&](const auto&, const auto&) {
        return adapters::make_response(http::status::internal_server_error);
    });
    REQUIRE(!failing.listen());
    CHECK(read_list(context, failing.address()).error == errc::peer_unreachable);
    using tcp = boost::asio::ip::tcp;
    const tcp::acceptor silent(context, {boost::asio::ip::address_v4::loopback(), 0});
    CHECK(read_list(context, adapters::to_string(silent.local_endpoint()), 50ms).error ==
          errc::deadline_exceeded);
}
