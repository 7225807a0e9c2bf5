#include "mimosavalve/adapters/target_pool.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cerrno>
#include <nlohmann/json.hpp>

#include "mimosavalve/core/error.hpp"
#include "mimosavalve/traffic/request_head.hpp"

namespace mimosavalve::adapters {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace detail {

// The platform's silent connections are old or were idle for long.
constexpr std::chrono::seconds max_idle{2};
constexpr std::chrono::seconds max_age{60};
// A connection costs about 1 ms and a probe 6 ms; a target that takes this long is failing.
constexpr std::chrono::milliseconds open_timeout{250};
constexpr std::chrono::milliseconds probe_timeout{200};
constexpr std::size_t max_buffered = std::size_t{64} * 1024;
constexpr std::size_t max_probe_body = 4096;

bool is_reusable(const target_connection& connection, steady_time now) {
    return !connection.suspected && now - connection.last_used <= max_idle &&
           now - connection.opened <= max_age;
}

/// A closed connection is readable, and so is one with unexpected bytes; neither may be reused.
bool is_quiet(target_connection& connection) {
    char byte = 0;
    const auto received =
        ::recv(connection.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

asio::ip::tcp::endpoint parse_endpoint(const std::string& address) {
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return {};
    }
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    const auto port = traffic::parse_number(std::string_view(address).substr(colon + 1));
    if (error || !port || *port > UINT16_MAX) {
        return {};
    }
    return {ip, static_cast<std::uint16_t>(*port)};
}

bool has_clock(const pooled_target& target, const target_connection& connection, steady_time now) {
    if (!target.clock || !traffic::is_usable(*target.clock, now)) {
        return false;
    }
    if (connection.instance != 0) {
        return connection.instance == target.clock->instance;
    }
    return traffic::is_usable_on_new_connection(*target.clock, connection.opened);
}

void count_success(pooled_target& target, steady_time now) {
    ++target.evidence.successes;
    target.evidence.consecutive_failures = 0;
    target.evidence.last_success = now;
    target.evidence_changed = true;
}

void note_clock(pooled_target& target, target_connection& connection, std::uint64_t clock_ms,
                std::uint64_t instance, steady_time now) {
    connection.instance = instance;
    target.evidence.instance = instance;
    target.clock = traffic::clock_reading{clock_ms, instance, now};
}

}  // namespace detail

target_connection::target_connection(asio::io_context& context)
    : socket(context), buffer(detail::max_buffered) {}

/// Registers a socket with the sweep for the length of an opening.
class target_pool::opening_scope {
public:
    opening_scope(target_pool& pool, asio::ip::tcp::socket& socket, steady_time deadline)
        : pool_(pool), opening_{&socket, deadline, false} {
        pool_.openings_.push_back(&opening_);
    }
    ~opening_scope() { std::erase(pool_.openings_, &opening_); }

    [[nodiscard]] bool expired() const { return opening_.expired; }

private:
    target_pool& pool_;
    opening opening_;
};

pooled_target& target_pool::entry(const ownership::target& target) {
    auto& found = targets_[target.id];
    if (found == nullptr) {
        found = std::make_unique<pooled_target>();
        found->id = target.id;
        found->evidence.target = target.id;
    }
    if (found->address != target.address) {
        found->address = target.address;
        found->endpoint = detail::parse_endpoint(target.address);
        found->idle.clear();
        found->clock.reset();
    }
    return *found;
}

std::unique_ptr<target_connection> target_pool::acquire(pooled_target& target, bool need_clock,
                                                        steady_time deadline,
                                                        const asio::yield_context& yield,
                                                        std::error_code& error) {
    error.clear();
    const auto now = std::chrono::steady_clock::now();
    while (!target.idle.empty()) {
        auto connection = std::move(target.idle.back());
        target.idle.pop_back();
        const bool ready = !need_clock || detail::has_clock(target, *connection, now);
        if (detail::is_reusable(*connection, now) && detail::is_quiet(*connection) && ready) {
            return connection;
        }
    }
    auto connection = open(target, deadline, yield, error);
    if (connection == nullptr) {
        return nullptr;
    }
    const bool ready = !need_clock || detail::has_clock(target, *connection, connection->opened) ||
                       read_clock(target, *connection, deadline, yield);
    if (!ready) {
        error = make_error_code(errc::target_unreachable);
        return nullptr;
    }
    return connection;
}

std::unique_ptr<target_connection> target_pool::open(pooled_target& target, steady_time deadline,
                                                     const asio::yield_context& yield,
                                                     std::error_code& error) {
    auto connection = std::make_unique<target_connection>(context_);
    const auto now = std::chrono::steady_clock::now();
    const opening_scope scope(*this, connection->socket,
                              std::min(deadline, now + detail::open_timeout));
    boost::system::error_code failure;
    connection->socket.async_connect(target.endpoint, yield[failure]);
    const auto connected = std::chrono::steady_clock::now();
    if (failure) {
        const bool request_late = connected >= deadline;
        if (!request_late) {
            record_failure(target, connected);
        }
        error = make_error_code(request_late ? errc::deadline_exceeded : errc::target_unreachable);
        return nullptr;
    }
    connection->socket.set_option(asio::ip::tcp::no_delay(true), failure);
    connection->socket.non_blocking(true, failure);
    connection->opened = connected;
    connection->last_used = connected;
    return connection;
}

bool target_pool::read_clock(pooled_target& target, target_connection& connection,
                             steady_time deadline, const asio::yield_context& yield) {
    const auto started = std::chrono::steady_clock::now();
    const opening_scope scope(*this, connection.socket,
                              std::min(deadline, started + detail::probe_timeout));
    static constexpr std::string_view request =
        "GET /probe HTTP/1.1\r\nHost: target\r\nRequest-Id: probe\r\n\r\n";
    boost::system::error_code failure;
    http::response_parser<http::string_body> parser;
    parser.body_limit(detail::max_probe_body);
    asio::async_write(connection.socket, asio::buffer(request), yield[failure]);
    if (!failure) {
        http::async_read(connection.socket, connection.buffer, parser, yield[failure]);
    }
    const auto now = std::chrono::steady_clock::now();
    if (failure || parser.get().result() != http::status::ok || !parser.keep_alive()) {
        record_failure(target, now);
        return false;
    }
    const auto fields = nlohmann::json::parse(parser.get().body(), nullptr, false);
    const bool complete = fields.is_object() && fields.contains("clock_ms") &&
                          fields.contains("instance") && fields["clock_ms"].is_number_unsigned() &&
                          fields["instance"].is_number_unsigned();
    if (!complete) {
        record_failure(target, now);
        return false;
    }
    detail::note_clock(target, connection, fields["clock_ms"].get<std::uint64_t>(),
                       fields["instance"].get<std::uint64_t>(), now);
    detail::count_success(target, now);
    connection.last_used = now;
    return true;
}

bool target_pool::probe(pooled_target& target, steady_time deadline,
                        const asio::yield_context& yield) {
    std::error_code error;
    auto connection = open(target, deadline, yield, error);
    if (connection == nullptr || !read_clock(target, *connection, deadline, yield)) {
        return false;
    }
    release(target, std::move(connection), std::chrono::steady_clock::now());
    return true;
}

void target_pool::release(pooled_target& target, std::unique_ptr<target_connection> connection,
                          steady_time now) {
    connection->last_used = now;
    // Bytes after the answer belong to no request of this connection.
    const bool reusable = connection->buffer.size() == 0 && detail::is_reusable(*connection, now);
    if (reusable) {
        target.idle.push_back(std::move(connection));
    }
}

void target_pool::record_answer(pooled_target& target, target_connection& connection,
                                std::string_view clock, std::string_view instance,
                                steady_time now) {
    const auto clock_ms = traffic::parse_number(clock);
    const auto number = traffic::parse_number(instance);
    if (clock_ms && number) {
        detail::note_clock(target, connection, *clock_ms, *number, now);
    }
    detail::count_success(target, now);
}

void target_pool::record_failure(pooled_target& target, steady_time now) {
    auto& evidence = target.evidence;
    if (evidence.consecutive_failures == 0) {
        evidence.first_failure = now;
    }
    ++evidence.consecutive_failures;
    ++evidence.failures;
    target.evidence_changed = true;
    // After a failure the target may have restarted with another clock.
    target.clock.reset();
}

void target_pool::sweep(steady_time now) {
    for (auto* pending : openings_) {
        if (!pending->expired && now >= pending->deadline) {
            pending->expired = true;
            boost::system::error_code ignored;
            pending->socket->close(ignored);
        }
    }
    for (auto& [id, target] : targets_) {
        std::erase_if(target->idle, [&](const std::unique_ptr<target_connection>& connection) {
            return !detail::is_reusable(*connection, now);
        });
    }
}

std::vector<target_evidence> target_pool::take_evidence() {
    std::vector<target_evidence> changed;
    for (auto& [id, target] : targets_) {
        if (target->evidence_changed) {
            target->evidence_changed = false;
            changed.push_back(target->evidence);
        }
    }
    return changed;
}

std::size_t target_pool::idle_connections() const {
    std::size_t count = 0;
    for (const auto& [id, target] : targets_) {
        count += target->idle.size();
    }
    return count;
}

}  // namespace mimosavalve::adapters
