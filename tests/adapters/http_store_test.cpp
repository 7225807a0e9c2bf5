#include "mimosavalve/adapters/http_store.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/status.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "loopback.hpp"
#include "mimosavalve/adapters/http_server.hpp"
#include "mimosavalve/core/error.hpp"
#include "mimosavalve/standins/store_service.hpp"

namespace adapters = mimosavalve::adapters;
namespace ports = mimosavalve::ports;
namespace standins = mimosavalve::standins;
using mimosavalve::errc;
using namespace std::chrono_literals;

namespace {

using revision_outcome = loopback::outcome<std::uint64_t>;
using entry_outcome = loopback::outcome<ports::store_entry>;

// The stand-in and its client on one context.
struct fixture {
    boost::asio::io_context context;
    standins::store_service service{context, {}};
    adapters::http_server server{context, {}, service.handler()};
    std::unique_ptr<adapters::http_store> client;
    ports::store store;

    fixture() {
        REQUIRE(!server.listen());
        client = std::make_unique<adapters::http_store>(
            context, adapters::http_store_options{.address = server.address()});
        store = client->port();
    }

    entry_outcome read(const std::string& key, std::chrono::milliseconds time = 5s) {
        return loopback::await<ports::store_entry>(
            context, [&](auto done) { store.read(key, loopback::in(time), done); });
    }

    revision_outcome write(const std::string& key, std::uint64_t expected, const std::string& value,
                           std::uint64_t lease = 0, std::chrono::milliseconds time = 5s) {
        return loopback::await<std::uint64_t>(context, [&](auto done) {
            store.compare_and_swap(key, expected, value, lease, loopback::in(time), done);
        });
    }

    std::uint64_t lease(std::chrono::milliseconds ttl) {
        return loopback::await<std::uint64_t>(
                   context, [&](auto done) { store.grant_lease(ttl, loopback::in(5s), done); })
            .value;
    }

    std::error_code renew(std::uint64_t number) {
        return loopback::await_done(
            context, [&](auto done) { store.renew_lease(number, loopback::in(5s), done); });
    }

    std::error_code revoke(std::uint64_t number) {
        return loopback::await_done(
            context, [&](auto done) { store.revoke_lease(number, loopback::in(5s), done); });
    }

    std::shared_ptr<std::optional<entry_outcome>> start_watch(const std::string& key,
                                                              std::uint64_t known,
                                                              std::chrono::milliseconds time) {
        auto result = std::make_shared<std::optional<entry_outcome>>();
        store.watch(key, known, loopback::in(time),
                    [result](std::error_code error, ports::store_entry entry) {
                        *result = entry_outcome{error, std::move(entry)};
                    });
        const auto watches = standins::total_calls(service.counts(), standins::call_kind::watch);
        loopback::run_until(context, [&] {
            return result->has_value() ||
                   standins::total_calls(service.counts(), standins::call_kind::watch) > watches;
        });
        return result;
    }

    // A server that answers each connection's first bytes with fixed bytes.
    void connect_to(const std::string& address) {
        client = std::make_unique<adapters::http_store>(
            context, adapters::http_store_options{.address = address});
        store = client->port();
    }
};

// Answers what is sent to it with fixed bytes and then closes or keeps the connection.
class scripted_server {
public:
    scripted_server(boost::asio::io_context& context, const std::string& answer, bool close)
        : acceptor_(std::make_shared<tcp::acceptor>(context, tcp::endpoint(loopback_ip(), 0))) {
        auto acceptor = acceptor_;
        boost::asio::spawn(
            context, [&context, acceptor, answer, close](const boost::asio::yield_context& yield) {
                std::vector<std::shared_ptr<tcp::socket>> kept;
                boost::system::error_code error;
                while (!error) {
                    auto socket = std::make_shared<tcp::socket>(context);
                    acceptor->async_accept(*socket, yield[error]);
                    boost::system::error_code failure;
                    std::string request;
                    boost::asio::async_read_until(*socket, boost::asio::dynamic_buffer(request),
                                                  "\r\n\r\n", yield[failure]);
                    boost::asio::async_write(*socket, boost::asio::buffer(answer), yield[failure]);
                    if (!close) {
                        kept.push_back(socket);
                    }
                }
            });
    }

    ~scripted_server() { acceptor_->close(); }
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    [[nodiscard]] std::string address() const {
        return adapters::to_string(acceptor_->local_endpoint());
    }

private:
    using tcp = boost::asio::ip::tcp;
    static boost::asio::ip::address loopback_ip() {
        return boost::asio::ip::address_v4::loopback();
    }
    std::shared_ptr<tcp::acceptor> acceptor_;
};

}  // namespace

// A wrong revision or key encoding would make compare-and-swap act on another value.
TEST_CASE("values are written by compare-and-swap and read back whole [http_store]") {
    fixture test;
    const std::string key = "shards/bagmati/0 %?&=\xc3\xa9";
    const std::string value("\0binary\r\n\r\n\xff", 12);
    CHECK(test.read(key).error == errc::not_found);
    const auto first = test.write(key, 0, value);
    CHECK(!first.error);
    CHECK(first.value > 0);
    CHECK(test.read(key).value.value == value);
    CHECK(test.read(key).value.revision == first.value);
    CHECK(test.write(key, 0, "other").error == errc::store_conflict);
    CHECK(test.write(key, first.value, "other").value > first.value);
    CHECK(test.read(key).value.value == "other");
}

// The claim of leadership rests on these rules.
TEST_CASE("a leased key lives as long as its lease [http_store]") {
    fixture test;
    const auto lease = test.lease(60s);
    CHECK(lease != 0);
    const auto first = test.write("leaders/bagmati/0", 0, "a", lease);
    CHECK(!first.error);
    CHECK(test.write("leaders/bagmati/0", 0, "b").error == errc::store_conflict);
    CHECK(!test.renew(lease));
    CHECK(!test.revoke(lease));
    CHECK(test.read("leaders/bagmati/0").error == errc::not_found);
    CHECK(test.renew(lease) == errc::store_lease_expired);
    CHECK(test.revoke(lease) == errc::store_lease_expired);
    CHECK(test.write("leaders/bagmati/0", 0, "b", lease).error == errc::store_lease_expired);
}

// A candidate learns of a lost leader from the watch on its leased key.
TEST_CASE("the end of a lease ends the watch on its key with revision 0 [http_store]") {
    fixture test;
    const auto lease = test.lease(50ms);
    const auto written = test.write("leaders/bagmati/0", 0, "a", lease);
    REQUIRE(!written.error);
    const auto watch = test.start_watch("leaders/bagmati/0", written.value, 10s);
    REQUIRE(loopback::run_until(test.context, [&] { return watch->has_value(); }));
    CHECK(!(*watch)->error);
    CHECK((*watch)->value.revision == 0);
    CHECK(test.renew(lease) == errc::store_lease_expired);
}

TEST_CASE("a watch answers at the change of its key [http_store]") {
    fixture test;
    const auto first = test.write("config", 0, "one");
    const auto watch = test.start_watch("config", first.value, 10s);
    CHECK(!test.write("other", 0, "x").error);
    CHECK(!watch->has_value());
    const auto second = test.write("config", first.value, "two");
    REQUIRE(loopback::run_until(test.context, [&] { return watch->has_value(); }));
    CHECK((*watch)->value.value == "two");
    CHECK((*watch)->value.revision == second.value);
}

// An unchanged watch that ended as an error would look like an outage of the store.
TEST_CASE("a watch without a change ends before its deadline with the same revision [http_store]") {
    fixture test;
    const auto first = test.write("config", 0, "one");
    const auto deadline = loopback::in(200ms);
    const auto watch = test.start_watch("config", first.value, 200ms);
    REQUIRE(loopback::run_until(test.context, [&] { return watch->has_value(); }));
    CHECK(std::chrono::steady_clock::now() < deadline + 1ms);
    CHECK(!(*watch)->error);
    CHECK((*watch)->value.revision == first.value);
}

// A new connection costs about as much as the call itself, and the store bears only a few per
// router.
TEST_CASE("connections are reused and at most four carry operations [http_store]") {
    fixture test;
    for (int number = 0; number < 20; ++number) {
        CHECK(test.read("config").error == errc::not_found);
    }
    CHECK(test.server.connections() == 1);
    test.service.set_faults({.delay = 5ms});
    std::size_t ended = 0;
    std::size_t most = 0;
    for (int number = 0; number < 40; ++number) {
        test.store.read("config", loopback::in(5s), [&](std::error_code error, auto&&) {
            CHECK(error == errc::not_found);
            most = std::max(most, test.server.connections());
            ++ended;
        });
    }
    REQUIRE(loopback::run_until(test.context, [&] { return ended == 40; }));
    CHECK(most == 4);
}

// Many watches must not keep other operations from getting a connection.
TEST_CASE("waiting watches leave the connections to other operations [http_store]") {
    fixture test;
    std::vector<std::shared_ptr<std::optional<entry_outcome>>> watches;
    watches.reserve(20);
    for (int number = 0; number < 20; ++number) {
        watches.push_back(test.start_watch("config", 0, 10s));
    }
    const auto written = test.write("config", 0, "one");
    CHECK(!written.error);
    for (const auto& watch : watches) {
        REQUIRE(loopback::run_until(test.context, [&] { return watch->has_value(); }));
        CHECK((*watch)->value.revision == written.value);
    }
}

// The writer has to read back: an error must not be taken for "no effect".
TEST_CASE("a write whose answer is lost ends with an error and has its effect [http_store]") {
    fixture test;
    test.service.set_faults({.lose_answers = 1});
    CHECK(test.write("config", 0, "one").error == errc::store_unavailable);
    const auto found = test.read("config");
    CHECK(!found.error);
    CHECK(found.value.value == "one");
    CHECK(!test.write("config", found.value.revision, "two").error);
    CHECK(standins::total_calls(test.service.counts(), standins::call_kind::write) == 2);
}

// Without its deadline an operation would block its caller for the length of the outage.
TEST_CASE("in an outage all operations end at their deadline [http_store]") {
    fixture test;
    const auto first = test.write("config", 0, "one");
    const auto lease = test.lease(60s);
    test.service.set_faults({.outage = standins::outage_kind::hang});
    const auto deadline = loopback::in(150ms);
    int ended = 0;
    const auto check = [&](std::error_code error) {
        CHECK(error == errc::store_unavailable);
        CHECK(std::chrono::steady_clock::now() >= deadline);
        ++ended;
    };
    for (int number = 0; number < 10; ++number) {
        test.store.read("config", deadline, [&](auto error, auto&&) { check(error); });
    }
    test.store.compare_and_swap("config", first.value, "two", 0, deadline,
                                [&](auto error, auto) { check(error); });
    test.store.grant_lease(1s, deadline, [&](auto error, auto) { check(error); });
    test.store.renew_lease(lease, deadline, check);
    test.store.revoke_lease(lease, deadline, check);
    test.store.watch("config", first.value, deadline, [&](auto error, auto&&) { check(error); });
    CHECK(ended == 0);
    REQUIRE(loopback::run_until(test.context, [&] { return ended == 15; }));
    test.service.set_faults({});
    CHECK(test.read("config").value.value == "one");
}

TEST_CASE("a store that closes its connections is unavailable and then usable [http_store]") {
    fixture test;
    CHECK(!test.write("config", 0, "one").error);
    test.service.set_faults({.outage = standins::outage_kind::close});
    CHECK(test.read("config").error == errc::store_unavailable);
    test.service.set_faults({});
    CHECK(test.read("config").value.value == "one");
}

// After a timeout the late answer must not be taken for the next operation's.
TEST_CASE("late answers are never taken for those of later operations [http_store]") {
    fixture test;
    CHECK(!test.write("slow", 0, "slow value").error);
    CHECK(!test.write("fast", 0, "fast value").error);
    test.service.set_faults({.delay = 60ms});
    for (int number = 0; number < 10; ++number) {
        const auto late = test.read("slow", 20ms);
        CHECK(late.error == errc::store_unavailable);
        const auto found = test.read("fast");
        CHECK(!found.error);
        CHECK(found.value.value == "fast value");
    }
}

// Callers hold state that must not change inside their own call.
TEST_CASE("callbacks never run inside the call [http_store]") {
    fixture test;
    bool returned = false;
    bool ended = false;
    const auto check = [&](auto&&...) {
        CHECK(returned);
        ended = true;
    };
    boost::asio::post(test.context, [&] {
        test.store.read("config", loopback::in(-1ms), check);
        returned = true;
    });
    CHECK(loopback::run_until(test.context, [&] { return ended; }));
    ended = false;
    boost::asio::post(test.context, [&] {
        returned = false;
        test.store.compare_and_swap("config", 0, std::string(2U << 20U, 'x'), 0, loopback::in(1s),
                                    check);
        returned = true;
    });
    CHECK(loopback::run_until(test.context, [&] { return ended; }));
}

TEST_CASE("values of 1 MB pass and longer ones are refused [http_store]") {
    fixture test;
    const std::string longest(1U << 20U, 'x');
    const auto written = test.write("shards/bagmati/0", 0, longest);
    CHECK(!written.error);
    CHECK(test.read("shards/bagmati/0").value.value == longest);
    CHECK(test.write("shards/bagmati/0", written.value, longest + "x").error ==
          std::errc::message_size);
    const auto header =
        "PUT /v1/kv/a HTTP/1.1\r\nExpected-Revision: 0\r\nContent-Length: 1048577\r\n";
    const auto answer = loopback::send_raw(test.context, test.server.address(),
                                           std::string(header) + "\r\n" + longest + "x");
    CHECK(answer.starts_with("HTTP/1.1 413"));
}

// A client that is destroyed while it waits must not call back into freed state.
TEST_CASE("a destroyed client drops its running operations [http_store]") {
    fixture test;
    test.service.set_faults({.outage = standins::outage_kind::hang});
    bool called = false;
    for (int number = 0; number < 8; ++number) {
        test.store.read("config", loopback::in(10s), [&](auto&&...) { called = true; });
    }
    const auto reads = [&] {
        return standins::total_calls(test.service.counts(), standins::call_kind::read);
    };
    REQUIRE(loopback::run_until(test.context, [&] { return reads() == 4; }));
    test.client.reset();
    test.server.stop();
    test.service.stop();
    test.context.restart();
    test.context.run_for(5s);
    CHECK(test.context.stopped());
    CHECK(!called);
}

// A truncated, crossed or unmarked answer must never be delivered as a value.
TEST_CASE("broken answers are errors [http_store]") {
    const std::vector<std::string> answers{
        "HTTP/1.1 200 OK\r\nStore-Revision: 1\r\nContent-Length: 100\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\nStore-Revision: 1\r\n\r\nwithout a length",
        "HTTP/1.1 200 OK\r\nStore-Revision: 1\r\nRequest-Id: 7777\r\nContent-Length: 1\r\n\r\nx",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
        "HTTP/1.1 200 OK\r\nStore-Revision: minus\r\nContent-Length: 1\r\n\r\nx",
        "HTTP/1.1 200 OK\r\nStore-Revision: 1\r\nContent-Length: 999999999\r\n\r\nx",
        "HTTP/1.1 200 OK\r\nX: " + std::string(20000, 'x') + "\r\nContent-Length: 1\r\n\r\nx",
        "no HTTP at all\r\n\r\n",
        "",
    };
    for (const auto& answer : answers) {
        CAPTURE(answer.substr(0, 80));
        fixture test;
        const scripted_server broken(test.context, answer, true);
        test.connect_to(broken.address());
        CHECK(test.read("config").error == errc::store_unavailable);
        CHECK(test.write("config", 0, "x").error == errc::store_unavailable);
    }
}

// Bytes after an answer belong to no request; reuse would cross them with the next one's answer.
TEST_CASE("a connection with bytes after its answer is not reused [http_store]") {
    fixture test;
    const std::string answer =
        "HTTP/1.1 200 OK\r\nStore-Revision: 1\r\nContent-Length: 5\r\n\r\nfirst";
    const std::string stray =
        "HTTP/1.1 200 OK\r\nStore-Revision: 9\r\nContent-Length: 5\r\n\r\nstray";
    const scripted_server crossed(test.context, answer + stray, false);
    test.connect_to(crossed.address());
    for (int number = 0; number < 5; ++number) {
        CHECK(test.read("config").value.value == "first");
    }
}

TEST_CASE("a store that cannot be reached is unavailable [http_store]") {
    fixture test;
    test.connect_to("127.0.0.1:1");
    CHECK(test.read("config").error == errc::store_unavailable);
    test.connect_to("not an address");
    CHECK(test.read("config").error == errc::store_unavailable);
}
