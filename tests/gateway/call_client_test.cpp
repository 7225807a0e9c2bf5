#include "mimosavalve/gateway/call_client.hpp"

#include <doctest/doctest.h>

#include <map>
#include <optional>
#include <thread>

#include "gateway/internal_server.hpp"
#include "gateway/lifetime.hpp"
#include "mimosavalve/core/error.hpp"
#include "path_fixture.hpp"

using namespace mimosavalve::gateway;

namespace {

/// Server that sends an answer of `parts` parts, one every 50 ms.
class slow_server {
public:
    explicit slow_server(boost::asio::io_context& context)
        : context_(context),
          listener_(context, {boost::asio::ip::address_v4::loopback(), 0},
                    [this](std::unique_ptr<stream> connection) {
                        connections_.push_back(std::move(connection));
                        run_after(context_, milliseconds(20), life_, [this] { send_head(); });
                    }) {}

    [[nodiscard]] tcp::endpoint address() const { return listener_.address(); }

    int parts = 0;
    int announced_parts = 0;

private:
    void send_head() {
        connections_.back()->write(
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(announced_parts) + "\r\n\r\n");
        send_part(0);
    }
    void send_part(int sent) {
        if (sent == parts) {
            return;
        }
        connections_.back()->write("x");
        run_after(context_, milliseconds(50), life_, [this, sent] { send_part(sent + 1); });
    }

    boost::asio::io_context& context_;
    listener listener_;
    std::vector<std::unique_ptr<stream>> connections_;
    lifetime life_;
};

struct outcome {
    std::optional<std::error_code> error;
    std::size_t body_bytes = 0;
    milliseconds took{0};
};

/// Calls with a deadline of 200 ms and, for an arriving answer, 1500 ms.
outcome call_server(int parts, int announced_parts) {
    boost::asio::io_context context;
    slow_server server(context);
    server.parts = parts;
    server.announced_parts = announced_parts;
    call_client client(context);
    outcome result;
    const auto began = std::chrono::steady_clock::now();
    client.send(server.address(), {"GET", "/", "", "", {}, {}, began + milliseconds(1500)},
                began + milliseconds(200), [&](std::error_code error, const call_answer& answer) {
                    result = {error, answer.body.size(),
                              std::chrono::duration_cast<milliseconds>(
                                  std::chrono::steady_clock::now() - began)};
                });
    for (int round = 0; round < 600 && !result.error; ++round) {
        context.run_for(milliseconds(5));
        context.restart();
    }
    return result;
}

/// Client with one connection to a server that answers at once.
struct one_connection {
    boost::asio::io_context context;
    std::vector<std::string> served;  ///< Paths of the requests that have arrived.
    internal_server server{context,
                           {boost::asio::ip::address_v4::loopback(), 0},
                           [this](const message_head& head, const std::string&,
                                  const internal_server::respond& respond) {
                               served.push_back(head.request_target);
                               respond({});
                           }};
    call_client client{context, 1};
    std::map<std::string, std::error_code> ended;

    void send(const std::string& path, milliseconds time) {
        client.send(server.address(), {"GET", path, "", "", {}, {}, {}},
                    std::chrono::steady_clock::now() + time,
                    [this, path](std::error_code error, const call_answer&) {
                        ended.emplace(path, error);
                    });
    }
    /// Runs until the call has ended, and a little longer, so that what it has sent can arrive.
    void finish(const std::string& path) {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!ended.contains(path) && std::chrono::steady_clock::now() < limit) {
            run_for(milliseconds(5));
        }
        run_for(milliseconds(50));
    }
    void run_for(milliseconds time) {
        context.run_for(time);
        context.restart();
    }
};

/// Calls a server that answers with a text and then closes or resets the connection.
outcome call_breaking_server(const std::string& text, bool is_orderly) {
    boost::asio::io_context context;
    std::vector<std::unique_ptr<stream>> connections;
    lifetime life;
    const listener server(context, {boost::asio::ip::address_v4::loopback(), 0},
                          [&](std::unique_ptr<stream> connection) {
                              connections.push_back(std::move(connection));
                              // The request is read first, since a close with unread bytes resets
                              // the connection.
                              run_after(context, milliseconds(20), life, [&] {
                                  std::array<char, 1024> request{};
                                  connections.back()->read(request);
                                  connections.back()->write(text);
                              });
                              run_after(context, milliseconds(40), life, [&] {
                                  is_orderly ? connections.back()->close()
                                             : connections.back()->reset();
                              });
                          });
    call_client client(context);
    outcome result;
    const auto began = std::chrono::steady_clock::now();
    client.send(server.address(), {"GET", "/", "", "", {}, {}, began + milliseconds(500)},
                began + milliseconds(500), [&](std::error_code error, const call_answer& answer) {
                    result.error = error;
                    result.body_bytes = answer.body.size();
                });
    for (int round = 0; round < 200 && !result.error; ++round) {
        context.run_for(milliseconds(5));
        context.restart();
    }
    return result;
}

}  // namespace

TEST_CASE("a call whose deadline has passed is not sent on an idle connection [call_client]") {
    one_connection fleet;
    fleet.send("/first", milliseconds(3000));
    fleet.finish("/first");
    REQUIRE(fleet.ended.contains("/first"));
    fleet.send("/late", milliseconds(0));
    fleet.finish("/late");
    CHECK(fleet.served == std::vector<std::string>{"/first"});
    REQUIRE(fleet.ended.contains("/late"));
    CHECK(fleet.ended["/late"] == mimosavalve::errc::target_unreachable);
}

TEST_CASE("a connection that opens after the deadline carries no call [call_client]") {
    one_connection fleet;
    fleet.send("/late", milliseconds(20));
    // The kernel completes the connection while the process gets no processor time.
    std::this_thread::sleep_for(milliseconds(50));
    fleet.finish("/late");
    CHECK(fleet.served.empty());
    REQUIRE(fleet.ended.contains("/late"));
    CHECK(fleet.ended["/late"] == mimosavalve::errc::target_unreachable);
    fleet.send("/next", milliseconds(3000));
    fleet.finish("/next");
    CHECK(fleet.served == std::vector<std::string>{"/next"});
}

TEST_CASE("a queued call that starts after its deadline is not sent [call_client]") {
    one_connection fleet;
    fleet.send("/first", milliseconds(3000));
    fleet.send("/late", milliseconds(100));
    while (fleet.served.empty()) {
        fleet.context.run_one();
    }
    std::this_thread::sleep_for(milliseconds(150));
    fleet.context.restart();
    fleet.finish("/late");
    CHECK(fleet.served == std::vector<std::string>{"/first"});
    REQUIRE(fleet.ended.contains("/late"));
    CHECK(fleet.ended["/late"] == mimosavalve::errc::target_unreachable);
}

TEST_CASE("a reset does not complete an answer without a length [call_client]") {
    const auto result = call_breaking_server("HTTP/1.1 200 OK\r\n\r\nhal", false);
    REQUIRE(result.error);
    CHECK(*result.error == std::errc::connection_reset);
}

TEST_CASE("an orderly close completes only an answer without a length [call_client]") {
    const auto whole = call_breaking_server("HTTP/1.1 200 OK\r\n\r\nwhole", true);
    REQUIRE(whole.error);
    CHECK_FALSE(*whole.error);
    CHECK(whole.body_bytes == 5);
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n";
    for (std::size_t length = 0; length <= head.size(); ++length) {
        CAPTURE(length);
        const auto result = call_breaking_server(head.substr(0, length), true);
        REQUIRE(result.error);
        CHECK(*result.error == std::errc::connection_reset);
    }
}

TEST_CASE("a large answer that is arriving is not given up at the deadline [call_client]") {
    const auto result = call_server(12, 12);
    REQUIRE(result.error);
    CHECK_FALSE(*result.error);
    CHECK(result.body_bytes == 12);
}

TEST_CASE("an answer that stops arriving is given up [call_client]") {
    const auto result = call_server(2, 12);
    REQUIRE(result.error);
    CHECK(*result.error == std::errc::timed_out);
    CHECK(result.took < milliseconds(1400));
}

TEST_CASE("an answer that never ends is given up at the transfer deadline [call_client]") {
    const auto result = call_server(1000, 1000);
    REQUIRE(result.error);
    CHECK(*result.error == std::errc::timed_out);
    CHECK(result.took >= milliseconds(1400));
    CHECK(result.took < milliseconds(2000));
}

// A faulty server sends its first answer once more when the second call has arrived.
TEST_CASE(
    "a copy of an earlier answer does not answer a call with its own connection [call_client]") {
    boost::asio::io_context context;
    std::vector<std::unique_ptr<stream>> connections;
    std::string last_answer;
    int calls_received = 0;
    const listener server(
        context, {boost::asio::ip::address_v4::loopback(), 0},
        [&](std::unique_ptr<stream> connection) {
            auto& added = *connections.emplace_back(std::move(connection));
            added.set_callbacks({[&] {
                                     std::array<char, 1024> request{};
                                     if (added.read(request).bytes == 0) {
                                         return;
                                     }
                                     connections.front()->write(last_answer);
                                     last_answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" +
                                                   std::to_string(++calls_received);
                                     added.write(last_answer);
                                 },
                                 {},
                                 {}});
            added.set_reading_enabled(true);
        });
    call_client client(context);
    std::vector<std::string> bodies;
    for (int count = 0; count < 2; ++count) {
        call request{"POST", "/", "", "", {}, {}, {}, true};
        client.send(server.address(), std::move(request),
                    std::chrono::steady_clock::now() + milliseconds(1000),
                    [&](std::error_code error, const call_answer& answer) {
                        bodies.push_back(error ? error.message() : answer.body);
                    });
        context.run_for(milliseconds(60));
        context.restart();
    }
    CHECK(bodies == std::vector<std::string>{"1", "2"});
}

TEST_CASE("a call that has left on a kept connection is not reported as never sent [call_client]") {
    boost::asio::io_context context;
    std::vector<std::unique_ptr<stream>> connections;
    lifetime life;
    int requests = 0;
    std::optional<listener> server;
    const auto serve = [&](std::unique_ptr<stream> connection) {
        connections.push_back(std::move(connection));
        auto* taken = connections.back().get();
        taken->set_callbacks({[&, taken] {
                                  std::array<char, 1024> request{};
                                  if (taken->read(request).bytes == 0) {
                                      return;
                                  }
                                  if (++requests == 1) {
                                      taken->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                                      return;
                                  }
                                  // It has the request, and its new connections fail.
                                  server.reset();
                                  taken->reset();
                              },
                              {},
                              {}});
        taken->set_reading_enabled(true);
    };
    server.emplace(context, tcp::endpoint{boost::asio::ip::address_v4::loopback(), 0}, serve);
    const auto address = server->address();
    call_client client(context);
    std::vector<std::error_code> ended;
    for (std::size_t call_number = 1; call_number <= 2; ++call_number) {
        client.send(address, {"POST", "/", "", "", {}, {}, {}},
                    std::chrono::steady_clock::now() + milliseconds(800),
                    [&](std::error_code error, const call_answer&) { ended.push_back(error); });
        for (int round = 0; round < 300 && ended.size() < call_number; ++round) {
            context.run_for(milliseconds(5));
            context.restart();
        }
    }
    REQUIRE(requests == 2);
    REQUIRE(ended.size() == 2);
    CHECK_FALSE(ended[0]);
    CHECK(ended[1]);
    CHECK(ended[1] != mimosavalve::errc::target_unreachable);
}

TEST_CASE("an answer without end is not kept [call_client]") {
    using namespace mimosavalve::gateway::testing;
    constexpr std::uint64_t max_answer_bytes = 16384;
    // What the kernel keeps for both ends of a connection.
    constexpr std::size_t max_filler_bytes = 12U << 20U;
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string& begin :
         {std::string("HTTP/1.1 200 OK\r\nFiller: "), std::string("no answer "),
          std::string("HTTP/1.1 200 OK\r\n\r\n"),
          std::string("HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n"),
          chunked + "3b9aca00\r\n", chunked + "5;extension=", chunked + "0\r\nTrailer: "}) {
        CAPTURE(begin);
        boost::asio::io_context context;
        scripted_target target(context);
        target.script = {std::string(endless) + begin};
        call_client client(context, 1, max_answer_bytes);
        std::optional<std::error_code> ended;
        client.send(*parse_endpoint(target.address()), {"GET", "/", "", "", {}, {}, {}},
                    std::chrono::steady_clock::now() + std::chrono::seconds(5),
                    [&](std::error_code error, const call_answer& answer) {
                        ended = error;
                        CHECK(answer.body.size() <= max_answer_bytes);
                    });
        for (int round = 0; round < 400 && !ended; ++round) {
            context.run_for(milliseconds(5));
            context.restart();
        }
        REQUIRE(ended);
        CHECK(*ended == make_error_code(mimosavalve::errc::malformed_message));
        context.run_for(milliseconds(30));
        CHECK(target.endless_connections == 0);
        CHECK(target.filler_bytes < max_filler_bytes);
    }
}

TEST_CASE("bytes without end behind a call that has no answer yet are not kept [call_client]") {
    boost::asio::io_context context;
    internal_server::respond answer;
    internal_server server(context, {boost::asio::ip::address_v4::loopback(), 0},
                           [&](const message_head&, const std::string&,
                               const internal_server::respond& respond) { answer = respond; });
    tcp::socket peer(context);
    peer.connect(server.address());
    peer.non_blocking(true);
    const std::string call = "POST /sync HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
    boost::asio::write(peer, boost::asio::buffer(call));
    const std::string filler(std::size_t{64} << 10U, 'x');
    std::size_t sent = 0;
    boost::system::error_code error;
    for (int round = 0; round < 400 && error != boost::asio::error::connection_reset &&
                        error != boost::asio::error::broken_pipe;
         ++round) {
        context.run_for(milliseconds(1));
        context.restart();
        sent += peer.write_some(boost::asio::buffer(filler), error);
    }
    REQUIRE(answer);
    CHECK((error == boost::asio::error::connection_reset ||
           error == boost::asio::error::broken_pipe));
    CHECK(sent < (std::size_t{12} << 20U));
}

TEST_CASE("a connection that sends no request is closed and reported [call_client]") {
    boost::asio::io_context context;
    int malformed = 0;
    internal_server server(
        context, {boost::asio::ip::address_v4::loopback(), 0},
        [](const message_head&, const std::string&, const internal_server::respond&) {},
        [&] { ++malformed; });
    tcp::socket peer(context);
    peer.connect(server.address());
    boost::asio::write(peer, boost::asio::buffer(std::string("\xff\x00 no request\r\n\r\n", 17)));
    context.run_for(std::chrono::milliseconds(50));
    CHECK(malformed == 1);
    std::array<char, 1> byte{};
    boost::system::error_code error;
    peer.read_some(boost::asio::buffer(byte), error);
    CHECK(error);
}
