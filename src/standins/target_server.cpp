#include "mimosavalve/standins/target_server.hpp"

#include <easylogging++.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <cstdio>
#include <fstream>
#include <optional>
#include <thread>
#include <unordered_set>

#include "target_core.hpp"
#include "target_session.hpp"

namespace mimosavalve::standins {

using boost::asio::ip::tcp;

namespace detail {

constexpr auto alive_period = std::chrono::milliseconds(20);
// Connections beyond the limit that still get answers to probes and orders.
constexpr std::size_t spare_connections = 64;

std::optional<tcp::endpoint> endpoint_of(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(text.substr(0, colon), error);
    std::uint16_t port = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (error || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return tcp::endpoint(address, port);
}

// Written under another name first, so that a reader never sees half a number.
std::error_code write_port_file(const std::string& name, std::uint16_t port) {
    const auto partial = name + ".new";
    std::ofstream file(partial);
    file << port << "\n";
    file.close();
    if (!file || std::rename(partial.c_str(), name.c_str()) != 0) {
        return std::make_error_code(std::errc::io_error);
    }
    return {};
}

}  // namespace detail

struct target_server::state {
    state(boost::asio::io_context& io, const target_settings& settings)
        : context(io), core(io, settings), acceptor(io), alive_timer(io) {}

    std::error_code open(const tcp::endpoint& wanted);
    void accept(const boost::asio::yield_context& yield);
    void keep_alive(const boost::asio::yield_context& yield);
    bool should_close() const;
    void close_all();
    void apply_fault(const fault_order& order, target_session& source);
    void refuse_connects(std::chrono::milliseconds time);
    session_hooks hooks();

    boost::asio::io_context& context;
    target_core core;
    tcp::acceptor acceptor;
    tcp::endpoint endpoint;
    boost::asio::steady_timer alive_timer;
    std::unordered_set<std::shared_ptr<target_session>> sessions;
    std::chrono::steady_clock::time_point leave_deadline;
    bool closing = false;
};

std::error_code target_server::state::open(const tcp::endpoint& wanted) {
    boost::system::error_code error;
    acceptor.open(wanted.protocol(), error);
    if (!error) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(wanted, error);
    }
    if (!error) {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (!error) {
        endpoint = acceptor.local_endpoint(error);
    }
    if (!error) {
        boost::asio::spawn(context,
                           [this](const boost::asio::yield_context& yield) { accept(yield); });
    }
    return error;
}

void target_server::state::accept(const boost::asio::yield_context& yield) {
    while (acceptor.is_open()) {
        boost::system::error_code error;
        tcp::socket socket(context);
        acceptor.async_accept(socket, yield[error]);
        const auto limit = core.settings().connections;
        if (error || sessions.size() >= limit + detail::spare_connections) {
            continue;
        }
        socket.set_option(tcp::no_delay(true), error);
        auto session = std::make_shared<target_session>(std::move(socket), core, hooks(),
                                                        sessions.size() >= limit);
        sessions.insert(session);
        session->run();
    }
}

session_hooks target_server::state::hooks() {
    return {
        [this](const fault_order& order, target_session& source) { apply_fault(order, source); },
        [this](target_session& session) { sessions.erase(session.shared_from_this()); }};
}

void target_server::state::keep_alive(const boost::asio::yield_context& yield) {
    while (!closing || !sessions.empty()) {
        boost::system::error_code ignored;
        alive_timer.expires_after(detail::alive_period);
        alive_timer.async_wait(yield[ignored]);
        core.note_alive();
        if (!closing && should_close()) {
            close_all();
        }
    }
}

bool target_server::state::should_close() const {
    if (!core.leaving()) {
        return false;
    }
    const bool slots_taken = core.settings().checks_fence && !core.holds_slots();
    return (slots_taken && core.is_idle()) || std::chrono::steady_clock::now() >= leave_deadline;
}

void target_server::state::close_all() {
    closing = true;
    boost::system::error_code ignored;
    acceptor.close(ignored);
    const auto open = sessions;
    for (const auto& session : open) {
        session->close_when_idle();
    }
}

void target_server::state::apply_fault(const fault_order& order, target_session& source) {
    if (order.turn_cold) {
        core.work().turn_cold();
    }
    if (order.silent) {
        for (const auto& session : sessions) {
            if (session.get() != &source) {
                session->silence();
            }
        }
    }
    if (order.refuse_connects.count() > 0) {
        refuse_connects(order.refuse_connects);
    }
    if (order.freeze.count() > 0) {
        LOG(INFO) << "target " << core.settings().id << " freezes for " << order.freeze.count()
                  << " ms";
        // The only thread stops, so sockets and timers stay as they are, as in a paused process.
        std::this_thread::sleep_for(order.freeze);
        core.note_alive();
    }
}

void target_server::state::refuse_connects(std::chrono::milliseconds time) {
    boost::system::error_code ignored;
    acceptor.close(ignored);
    const auto open = sessions;
    for (const auto& session : open) {
        session->close_now();
    }
    boost::asio::spawn(context, [this, time](const boost::asio::yield_context& yield) {
        boost::asio::steady_timer timer(context, time);
        boost::system::error_code error;
        timer.async_wait(yield[error]);
        const auto opened = closing ? std::error_code() : this->open(endpoint);
        if (opened) {
            LOG(ERROR) << "port can't be opened again: " << opened.message();
        }
    });
}

target_server::target_server(boost::asio::io_context& context, const target_settings& settings)
    : state_(std::make_unique<state>(context, settings)) {}

target_server::~target_server() = default;

std::error_code target_server::start() {
    const auto& settings = state_->core.settings();
    const auto wanted = detail::endpoint_of(settings.listen);
    if (!wanted) {
        return std::make_error_code(std::errc::invalid_argument);
    }
    if (const auto error = state_->open(*wanted)) {
        return error;
    }
    if (const auto error = state_->core.open_history()) {
        return error;
    }
    boost::asio::spawn(state_->context,
                       [state = state_.get()](const boost::asio::yield_context& yield) {
                           state->keep_alive(yield);
                       });
    if (settings.port_file.empty()) {
        return {};
    }
    return detail::write_port_file(settings.port_file, port());
}

std::uint16_t target_server::port() const {
    return state_->endpoint.port();
}

void target_server::leave() {
    state_->core.start_leaving();
    state_->leave_deadline = std::chrono::steady_clock::now() + state_->core.settings().leave_time;
}

}  // namespace mimosavalve::standins
