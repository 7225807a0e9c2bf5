#include "mimosavalve/adapters/http_store.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "http_exchange.hpp"
#include "mimosavalve/adapters/http_message.hpp"
#include "mimosavalve/adapters/request_target.hpp"
#include "mimosavalve/core/error.hpp"

namespace mimosavalve::adapters {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using ports::store_entry;

namespace detail {

constexpr std::size_t max_value_bytes = std::size_t{1} << 20U;
constexpr std::chrono::milliseconds longest_watch{60000};
// The answer "unchanged" has to arrive before the deadline.
constexpr std::chrono::milliseconds watch_margin{50};

using connection_pointer = std::unique_ptr<http_connection>;

/// An operation that waits for a free connection.
struct slot_waiter {
    asio::steady_timer timer;
    bool granted = false;
};

struct http_store_state {
    http_store_state(asio::io_context& io, const http_store_options& options)
        : context(io),
          endpoint(parse_endpoint(options.address)),
          max_busy(std::max<std::size_t>(options.connections, 1)) {}

    asio::io_context& context;
    std::optional<asio::ip::tcp::endpoint> endpoint;
    std::size_t max_busy;
    std::size_t busy = 0;
    std::deque<slot_waiter*> waiting;
    std::vector<connection_pointer> idle;
    std::vector<connection_pointer> idle_watches;
    std::set<http_connection*> active;
    std::uint64_t last_request_id = 0;
    bool closed = false;
};

namespace {

using state_pointer = std::shared_ptr<http_store_state>;
using answer_handler = std::function<void(std::error_code, const http_response&)>;

struct store_operation {
    http_request request;
    steady_time deadline;
    bool watch = false;
    bool repeatable = false;  // Has no effect, so it may be sent again.
    answer_handler done;
};

// Lists the connection while an operation uses it, so that the client can close it.
class active_entry {
public:
    active_entry(http_store_state& state, http_connection& connection)
        : state_(state), connection_(connection) {
        state_.active.insert(&connection_);
    }
    active_entry(const active_entry&) = delete;
    active_entry& operator=(const active_entry&) = delete;
    ~active_entry() { state_.active.erase(&connection_); }

private:
    http_store_state& state_;
    http_connection& connection_;
};

// False when no connection became free before the deadline.
bool acquire_slot(http_store_state& state, steady_time deadline, const asio::yield_context& yield) {
    if (state.busy < state.max_busy) {
        ++state.busy;
        return true;
    }
    slot_waiter waiter{asio::steady_timer(state.context, deadline)};
    state.waiting.push_back(&waiter);
    boost::system::error_code ignored;
    waiter.timer.async_wait(yield[ignored]);
    if (!waiter.granted) {
        state.waiting.erase(std::find(state.waiting.begin(), state.waiting.end(), &waiter));
    }
    return waiter.granted;
}

void release_slot(http_store_state& state) {
    if (state.waiting.empty()) {
        --state.busy;
        return;
    }
    auto* const next = state.waiting.front();
    state.waiting.pop_front();
    next->granted = true;
    next->timer.cancel();
}

connection_pointer take_idle(std::vector<connection_pointer>& idle) {
    const auto now = std::chrono::steady_clock::now();
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (is_reusable(*connection, now)) {
            return connection;
        }
    }
    return nullptr;
}

// One attempt. `reused` tells whether the connection had carried another operation before.
std::error_code attempt(http_store_state& state, store_operation& operation, bool allow_reuse,
                        bool& reused, http_response& response, const asio::yield_context& yield) {
    auto& idle = operation.watch ? state.idle_watches : state.idle;
    auto connection = allow_reuse ? take_idle(idle) : nullptr;
    reused = connection != nullptr;
    if (!reused) {
        connection = std::make_unique<http_connection>(state.context);
    }
    const active_entry entry(state, *connection);
    std::error_code error;
    if (!reused) {
        error = connect(*connection, *state.endpoint, operation.deadline, yield);
    }
    if (!error && !state.closed) {
        error = exchange(*connection, operation.request, operation.deadline, response, yield);
    }
    if (!error && connection->keep_alive && !state.closed) {
        connection->stream.expires_never();
        idle.push_back(std::move(connection));
    }
    return error;
}

std::error_code run_attempts(http_store_state& state, store_operation& operation,
                             http_response& response, const asio::yield_context& yield) {
    bool reused = false;
    auto error = attempt(state, operation, true, reused, response, yield);
    const auto in_time = std::chrono::steady_clock::now() < operation.deadline;
    // The store may have closed an idle connection at the moment of its reuse.
    if (error && reused && operation.repeatable && in_time && !state.closed) {
        error = attempt(state, operation, false, reused, response, yield);
    }
    return error ? errc::store_unavailable : std::error_code{};
}

std::error_code run(http_store_state& state, store_operation& operation, http_response& response,
                    const asio::yield_context& yield) {
    if (!state.endpoint || state.closed || std::chrono::steady_clock::now() >= operation.deadline) {
        return errc::store_unavailable;
    }
    if (operation.watch) {
        return run_attempts(state, operation, response, yield);
    }
    if (!acquire_slot(state, operation.deadline, yield)) {
        return errc::store_unavailable;
    }
    const auto error = run_attempts(state, operation, response, yield);
    release_slot(state);
    return error;
}

// Callbacks run on the thread's own stack, since a coroutine's stack is small.
void finish(const state_pointer& state, const store_operation& operation, std::error_code error,
            http_response response) {
    asio::post(state->context,
               [state, done = operation.done, error, response = std::move(response)] {
                   if (!state->closed) {
                       done(error, response);
                   }
               });
}

// Spawning starts the coroutine at once, so it is posted to stay outside the caller's call.
void start(const state_pointer& state, store_operation operation) {
    if (state->closed) {
        return;
    }
    operation.request.version(11);
    operation.request.set(http::field::host, "store");
    operation.request.set("Request-Id", std::to_string(++state->last_request_id));
    auto held = std::make_shared<store_operation>(std::move(operation));
    asio::post(state->context, [state, held] {
        asio::spawn(state->context, [state, held](const asio::yield_context& yield) {
            http_response response;
            const auto error = run(*state, *held, response, yield);
            finish(state, *held, error, std::move(response));
        });
    });
}

std::optional<std::uint64_t> revision_in(const http_response& response) {
    const auto found = response.find("Store-Revision");
    if (found == response.end()) {
        return std::nullopt;
    }
    return parse_number({found->value().data(), found->value().size()});
}

std::optional<std::uint64_t> lease_in(const http_response& response) {
    const auto json = nlohmann::json::parse(response.body(), nullptr, false);
    if (!json.is_object() || !json.contains("lease") || !json["lease"].is_number_unsigned()) {
        return std::nullopt;
    }
    return json["lease"].get<std::uint64_t>();
}

std::error_code error_of(http::status status) {
    switch (status) {
        case http::status::ok:
            return {};
        case http::status::not_found:
            return errc::not_found;
        case http::status::conflict:
            return errc::store_conflict;
        case http::status::gone:
            return errc::store_lease_expired;
        case http::status::bad_request:
            return errc::malformed_message;
        case http::status::payload_too_large:
            return std::make_error_code(std::errc::message_size);
        default:
            return errc::store_unavailable;
    }
}

http_request make_request(http::verb method, const std::string& target) {
    http_request request;
    request.method(method);
    request.target(target);
    return request;
}

void read(const state_pointer& state, const std::string& key, steady_time deadline,
          const ports::store::entry_handler& done) {
    const auto request = make_request(http::verb::get, "/v1/kv/" + percent_encode(key));
    start(state,
          {request, deadline, false, true, [done](std::error_code error, const auto& answer) {
               error = error ? error : error_of(answer.result());
               const auto revision = revision_in(answer);
               if (error) {
                   done(error, {});
               } else if (!revision) {
                   done(errc::store_unavailable, {});
               } else {
                   done({}, {answer.body(), *revision});
               }
           }});
}

void write(const state_pointer& state, const std::string& key, std::uint64_t expected,
           std::string value, std::uint64_t lease, steady_time deadline,
           const ports::store::revision_handler& done) {
    if (value.size() > max_value_bytes) {
        asio::post(state->context, [state, done] {
            if (!state->closed) {
                done(std::make_error_code(std::errc::message_size), 0);
            }
        });
        return;
    }
    auto request = make_request(http::verb::put, "/v1/kv/" + percent_encode(key));
    request.set("Expected-Revision", std::to_string(expected));
    if (lease != 0) {
        request.set("Lease", std::to_string(lease));
    }
    request.body() = std::move(value);
    start(state, {std::move(request), deadline, false, false,
                  [done](std::error_code error, const auto& answer) {
                      error = error ? error : error_of(answer.result());
                      const auto revision = revision_in(answer);
                      if (!error && !revision) {
                          error = errc::store_unavailable;
                      }
                      done(error, revision.value_or(0));
                  }});
}

void take_lease(const state_pointer& state, std::chrono::milliseconds ttl, steady_time deadline,
                const ports::store::lease_handler& done) {
    const auto request =
        make_request(http::verb::post, "/v1/leases?ttl_ms=" + std::to_string(ttl.count()));
    start(state,
          {request, deadline, false, false, [done](std::error_code error, const auto& answer) {
               error = error ? error : error_of(answer.result());
               const auto lease = lease_in(answer);
               if (!error && !lease) {
                   error = errc::store_unavailable;
               }
               done(error, error ? 0 : *lease);
           }});
}

void change_lease(const state_pointer& state, http::verb method, const std::string& target,
                  steady_time deadline, const ports::store::done_handler& done) {
    start(state, {make_request(method, target), deadline, false, false,
                  [done](std::error_code error, const auto& answer) {
                      error = error ? error : error_of(answer.result());
                      done(error == errc::not_found ? errc::store_lease_expired : error);
                  }});
}

std::string watch_target(const std::string& key, std::uint64_t known, steady_time deadline) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline - std::chrono::steady_clock::now());
    const auto wait = std::clamp(left - std::min(watch_margin, left / 4),
                                 std::chrono::milliseconds(0), longest_watch);
    return "/v1/watch/" + percent_encode(key) + "?revision=" + std::to_string(known) +
           "&wait_ms=" + std::to_string(wait.count());
}

void deliver_watch(std::error_code error, const http_response& answer, std::uint64_t known,
                   const ports::store::entry_handler& done) {
    if (!error && answer.result() == http::status::no_content) {
        done({}, {{}, known});
        return;
    }
    error = error ? error : error_of(answer.result());
    const auto revision = revision_in(answer);
    if (error == errc::not_found) {
        done({}, {});
    } else if (error || !revision) {
        done(error ? error : errc::store_unavailable, {});
    } else {
        done({}, {answer.body(), *revision});
    }
}

void watch(const state_pointer& state, const std::string& key, std::uint64_t known,
           steady_time deadline, const ports::store::entry_handler& done) {
    const auto request = make_request(http::verb::get, watch_target(key, known, deadline));
    start(state,
          {request, deadline, true, true, [done, known](std::error_code error, const auto& answer) {
               deliver_watch(error, answer, known, done);
           }});
}

void close(http_store_state& state) {
    state.closed = true;
    state.idle.clear();
    state.idle_watches.clear();
    for (auto* connection : state.active) {
        connection->stream.close();
    }
    for (auto* waiter : state.waiting) {
        waiter->timer.cancel();
    }
}

}  // namespace

}  // namespace detail

http_store::http_store(asio::io_context& context, const http_store_options& options)
    : state_(std::make_shared<detail::http_store_state>(context, options)) {}

http_store::~http_store() {
    detail::close(*state_);
}

ports::store http_store::port() const {
    ports::store port;
    port.read = [state = state_](const std::string& key, steady_time deadline, const auto& done) {
        detail::read(state, key, deadline, done);
    };
    port.compare_and_swap = [state = state_](const std::string& key, std::uint64_t expected,
                                             std::string value, std::uint64_t lease,
                                             steady_time deadline,
                                             const ports::store::revision_handler& done) {
        detail::write(state, key, expected, std::move(value), lease, deadline, done);
    };
    port.grant_lease = [state = state_](std::chrono::milliseconds ttl, steady_time deadline,
                                        const auto& done) {
        detail::take_lease(state, ttl, deadline, done);
    };
    port.renew_lease = [state = state_](std::uint64_t lease, steady_time deadline,
                                        const auto& done) {
        detail::change_lease(state, http::verb::post,
                             "/v1/leases/" + std::to_string(lease) + "/renew", deadline, done);
    };
    port.revoke_lease = [state = state_](std::uint64_t lease, steady_time deadline,
                                         const auto& done) {
        detail::change_lease(state, http::verb::delete_, "/v1/leases/" + std::to_string(lease),
                             deadline, done);
    };
    port.watch = [state = state_](const std::string& key, std::uint64_t known, steady_time deadline,
                                  const auto& done) {
        detail::watch(state, key, known, deadline, done);
    };
    return port;
}

}  // namespace mimosavalve::adapters
