#include "mimosavalve/adapters/zmq_peers.hpp"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>
#include <zmq.hpp>

#include "control.pb.h"
#include "loopback.hpp"
#include "mimosavalve/core/error.hpp"

namespace adapters = mimosavalve::adapters;
namespace wire = mimosavalve::wire;
using namespace std::chrono_literals;

namespace {

constexpr unsigned seed = 20261204;

wire::Envelope message(std::uint64_t number, std::size_t padding = 0) {
    wire::Envelope envelope;
    envelope.mutable_sender()->set_host("entry-1");
    envelope.mutable_claim_request()->set_number(number);
    envelope.mutable_claim_request()->set_key(std::string(padding, 'x'));
    return envelope;
}

// A transport that keeps the numbers of the messages that it received.
struct peer {
    std::vector<std::uint64_t> numbers;
    adapters::zmq_peers transport;

    explicit peer(boost::asio::io_context& context, adapters::zmq_peers_options options = {})
        : transport(context, std::move(options), [this](const wire::Envelope& envelope) {
              numbers.push_back(envelope.claim_request().number());
          }) {
        REQUIRE(!transport.listen());
    }

    void send(const std::string& address, const wire::Envelope& envelope) const {
        transport.port().send(address, envelope);
    }
};

// A foreign ZeroMQ sender without any of the transport's checks.
struct foreign_sender {
    zmq::context_t context{1};
    zmq::socket_t socket{context, zmq::socket_type::push};

    explicit foreign_sender(const std::string& address) { socket.connect("tcp://" + address); }

    void send(const std::string& bytes, bool more = false) {
        socket.send(zmq::buffer(bytes), more ? zmq::send_flags::sndmore : zmq::send_flags::none);
    }
};

std::string random_bytes(std::mt19937& random, std::size_t size) {
    std::uniform_int_distribution<int> byte(0, 255);
    std::string bytes(size, '\0');
    for (auto& character : bytes) {
        character = static_cast<char>(byte(random));
    }
    return bytes;
}

}  // namespace

// Renewals and their answers take this way; a lost wake-up of the descriptor would stall them.
TEST_CASE("messages arrive in order on an address chosen by the system [zmq_peers]") {
    boost::asio::io_context context;
    peer first(context);
    peer second(context);
    CHECK(first.transport.address().starts_with("127.0.0.1:"));
    CHECK(first.transport.address() != "127.0.0.1:0");
    std::vector<std::uint64_t> expected;
    for (std::uint64_t number = 0; number < 200; ++number) {
        first.send(second.transport.address(), message(number));
        expected.push_back(number);
    }
    REQUIRE(loopback::run_until(context, [&] { return second.numbers.size() == 200; }));
    CHECK(second.numbers == expected);
    CHECK(first.transport.counts().sent == 200);
    CHECK(second.transport.counts().received == 200);
}

// Each message is sent only after the last was delivered, so each needs its own wake-up.
TEST_CASE("no wake-up is lost in 2000 alternating messages [zmq_peers]") {
    boost::asio::io_context context;
    std::uint64_t rounds = 0;
    std::unique_ptr<adapters::zmq_peers> left;
    std::unique_ptr<adapters::zmq_peers> right;
    left = std::make_unique<adapters::zmq_peers>(
        context, adapters::zmq_peers_options{}, [&](const wire::Envelope&) {
            ++rounds;
            left->port().send(right->address(), message(rounds));
        });
    right = std::make_unique<adapters::zmq_peers>(
        context, adapters::zmq_peers_options{},
        [&](const wire::Envelope& envelope) { right->port().send(left->address(), envelope); });
    REQUIRE(!left->listen());
    REQUIRE(!right->listen());
    left->port().send(right->address(), message(0));
    CHECK(loopback::run_until(context, [&] { return rounds == 1000; }));
}

// A host that is replaced gets its predecessor's address.
TEST_CASE("a peer restarted on the same address is reached again [zmq_peers]") {
    boost::asio::io_context context;
    const peer sender(context);
    auto receiver = std::make_unique<peer>(context);
    const auto address = receiver->transport.address();
    sender.send(address, message(1));
    REQUIRE(loopback::run_until(context, [&] { return !receiver->numbers.empty(); }));
    for (int restart = 0; restart < 3; ++restart) {
        receiver.reset();
        sender.send(address, message(2));
        receiver = std::make_unique<peer>(context, adapters::zmq_peers_options{.address = address});
        // Renewals repeat in the same way, since messages may be lost.
        const auto limit = loopback::in(10s);
        while (receiver->numbers.empty() && std::chrono::steady_clock::now() < limit) {
            sender.send(address, message(3));
            context.restart();
            context.run_for(10ms);
        }
        CHECK(!receiver->numbers.empty());
    }
}

// Blocking would stop the control thread and with it the leases of the whole router.
TEST_CASE("sending to a peer that does not read drops and never blocks [zmq_peers]") {
    boost::asio::io_context context;
    using tcp = boost::asio::ip::tcp;
    const tcp::acceptor silent(context, {boost::asio::ip::address_v4::loopback(), 0});
    const peer sender(context);
    const auto address = adapters::to_string(silent.local_endpoint());
    const auto limit = loopback::in(10s);
    for (std::uint64_t number = 0; number < 20000; ++number) {
        sender.send(address, message(number));
    }
    CHECK(std::chrono::steady_clock::now() < limit);
    const auto& counts = sender.transport.counts();
    CHECK(counts.sent <= 256);
    CHECK(counts.sent + counts.dropped == 20000);
}

TEST_CASE("bad addresses and messages over 2 MB are not sent [zmq_peers]") {
    boost::asio::io_context context;
    const peer sender(context);
    const peer receiver(context);
    for (const std::string address :
         {"", "host", "127.0.0.1", "127.0.0.1:0", "1.2.3:99999", ":1"}) {
        sender.send(address, message(1));
    }
    sender.send(receiver.transport.address(), message(1, 3U << 20U));
    CHECK(sender.transport.counts().dropped == 7);
    CHECK(sender.transport.counts().sent == 0);
    CHECK(sender.transport.open_peers() == 0);
}

// One bad sender must neither stop the process nor keep others out.
TEST_CASE("malformed, long and split messages are refused and counted [zmq_peers]") {
    boost::asio::io_context context;
    peer receiver(context);
    foreign_sender foreign(receiver.transport.address());
    std::mt19937 random(seed);
    for (std::size_t size = 0; size < 300; ++size) {
        foreign.send(random_bytes(random, size));
    }
    foreign.send(message(1, 3U << 20U).SerializeAsString());
    foreign.send(message(2).SerializeAsString(), true);
    foreign.send("second part");
    const auto cut = message(3, 100).SerializeAsString();
    foreign.send(cut.substr(0, cut.size() / 2));
    foreign.send(message(4, 1U << 20U).SerializeAsString());
    const auto& counts = receiver.transport.counts();
    REQUIRE(loopback::run_until(
        context, [&] { return counts.malformed + counts.oversized + counts.received == 304; }));
    CHECK(counts.oversized == 1);
    CHECK(counts.malformed >= 302 - counts.received + 1);
    CHECK(receiver.numbers.back() == 4);
}

// Port scans and mistaken clients reach the port as well.
TEST_CASE("bytes that are no ZeroMQ do not disturb a receiver [zmq_peers]") {
    boost::asio::io_context context;
    peer receiver(context);
    std::mt19937 random(seed);
    for (std::size_t size = 1; size < 2000; size += 100) {
        loopback::send_raw(context, receiver.transport.address(), random_bytes(random, size), true);
    }
    loopback::send_raw(context, receiver.transport.address(), "GET / HTTP/1.1\r\n\r\n", true);
    const peer sender(context);
    sender.send(receiver.transport.address(), message(1));
    CHECK(loopback::run_until(context, [&] { return receiver.numbers.size() == 1; }));
}

// Without this each replaced host would leave a socket behind for ever.
TEST_CASE("peers without messages are closed [zmq_peers]") {
    boost::asio::io_context context;
    const peer sender(context, {.unused_peer_time = 40ms});
    peer receiver(context);
    sender.send(receiver.transport.address(), message(1));
    CHECK(sender.transport.open_peers() == 1);
    CHECK(loopback::run_until(context, [&] { return sender.transport.open_peers() == 0; }));
    sender.send(receiver.transport.address(), message(2));
    CHECK(loopback::run_until(
        context, [&] { return !receiver.numbers.empty() && receiver.numbers.back() == 2; }));
}

TEST_CASE("an address in use or without sense is an error [zmq_peers]") {
    boost::asio::io_context context;
    const peer first(context);
    adapters::zmq_peers second(context, {.address = first.transport.address()}, {});
    CHECK(second.listen() == std::errc::address_in_use);
    adapters::zmq_peers third(context, {.address = "nowhere"}, {});
    CHECK(third.listen() == mimosavalve::errc::invalid_settings);
}
