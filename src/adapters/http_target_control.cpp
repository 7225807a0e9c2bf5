#include "mimosavalve/adapters/http_target_control.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/http.hpp>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "http_exchange.hpp"
#include "mimosavalve/adapters/http_message.hpp"
#include "mimosavalve/adapters/target_clock.hpp"
#include "mimosavalve/core/error.hpp"

namespace mimosavalve::adapters {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using nlohmann::json;
using ports::probe_result;
using ports::slot_grant;

namespace detail {

struct http_target_control_state {
    explicit http_target_control_state(asio::io_context& io) : context(io) {}

    asio::io_context& context;
    std::map<std::string, clock_reading> readings;  // By address.
    bool closed = false;
};

namespace {

using state_pointer = std::shared_ptr<http_target_control_state>;

struct target_order {
    std::string path;  // "/grant" or "/revoke"
    std::string address;
    std::vector<slot_grant> grants;
    steady_time deadline;
    ports::target_control::done_handler done;
};

std::error_code error_of(http::status status) {
    if (status == http::status::ok) {
        return {};
    }
    if (status == http::status::conflict) {
        return errc::target_refused;
    }
    return http::to_status_class(status) == http::status_class::server_error
               ? errc::target_unreachable
               : errc::malformed_message;
}

std::optional<probe_result> parse_probe(const std::string& body) {
    const auto answer = json::parse(body, nullptr, false);
    const auto is_number = [&](const char* field) {
        return answer.contains(field) && answer[field].is_number_unsigned();
    };
    if (!answer.is_object() || !is_number("clock_ms") || !is_number("instance") ||
        !is_number("load") || !answer.contains("leaving") || !answer["leaving"].is_boolean()) {
        return std::nullopt;
    }
    const auto load = answer["load"].get<std::uint64_t>();
    if (load > std::numeric_limits<std::uint32_t>::max()) {
        return std::nullopt;
    }
    return probe_result{answer["clock_ms"].get<std::uint64_t>(),
                        answer["instance"].get<std::uint64_t>(), static_cast<std::uint32_t>(load),
                        answer["leaving"].get<bool>()};
}

// A failed exchange may mean that the target restarts with another clock.
void forget_reading(http_target_control_state& state, const std::string& address) {
    state.readings.erase(address);
}

void keep_reading(http_target_control_state& state, const std::string& address,
                  const probe_result& result) {
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(state.readings, [&](const auto& entry) { return !is_fresh(entry.second, now); });
    state.readings[address] = {result.clock_ms, result.instance, now};
}

std::error_code exchange_with(http_target_control_state& state, const std::string& address,
                              http_request& request, steady_time deadline, http_response& response,
                              const asio::yield_context& yield) {
    const auto endpoint = parse_endpoint(address);
    if (!endpoint) {
        return errc::target_unreachable;
    }
    if (std::chrono::steady_clock::now() >= deadline) {
        return errc::deadline_exceeded;
    }
    request.set(http::field::host, address);
    const auto error = exchange_once(state.context, *endpoint, request, deadline, response, yield);
    if (error) {
        forget_reading(state, address);
    }
    return error ? error : error_of(response.result());
}

std::error_code run_probe(http_target_control_state& state, const std::string& address,
                          steady_time deadline, probe_result& result,
                          const asio::yield_context& yield) {
    http_request request(http::verb::get, "/probe", 11);
    http_response response;
    if (const auto error = exchange_with(state, address, request, deadline, response, yield)) {
        return error;
    }
    const auto parsed = parse_probe(response.body());
    if (!parsed) {
        return errc::malformed_message;
    }
    result = *parsed;
    keep_reading(state, address, result);
    return {};
}

std::error_code find_reading(http_target_control_state& state, const std::string& address,
                             steady_time deadline, clock_reading& reading,
                             const asio::yield_context& yield) {
    const auto known = state.readings.find(address);
    if (known == state.readings.end() ||
        !is_fresh(known->second, std::chrono::steady_clock::now())) {
        probe_result result;
        if (const auto error = run_probe(state, address, deadline, result, yield)) {
            return error;
        }
    }
    reading = state.readings.at(address);
    return {};
}

std::string order_body(const target_order& order, const clock_reading& reading) {
    auto grants = json::array();
    for (const auto& grant : order.grants) {
        grants.push_back({{"service", grant.service},
                          {"first_slot", grant.first_slot},
                          {"count", grant.count},
                          {"fence", to_string(grant.fence)}});
    }
    const json body{{"grants", grants},
                    {"deadline_clock_ms", map_deadline(reading, order.deadline)},
                    {"instance", reading.instance}};
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::error_code run_order(http_target_control_state& state, const target_order& order,
                          const asio::yield_context& yield) {
    clock_reading reading;
    if (const auto error = find_reading(state, order.address, order.deadline, reading, yield)) {
        return error;
    }
    http_request request(http::verb::post, order.path, 11);
    request.set(http::field::content_type, "application/json");
    request.body() = order_body(order, reading);
    http_response response;
    return exchange_with(state, order.address, request, order.deadline, response, yield);
}

// JSON needs more stack than a coroutine has by default.
constexpr std::size_t coroutine_stack_bytes = 256UL * 1024UL;

// Spawning starts the coroutine at once, so it is posted to stay outside the caller's call.
template <class Body>
void start(const state_pointer& state, Body body) {
    asio::post(state->context, [state, body] {
        if (!state->closed) {
            asio::spawn(state->context, body, boost::coroutines::attributes(coroutine_stack_bytes));
        }
    });
}

// Callbacks run on the thread's own stack.
template <class Callback>
void finish(const state_pointer& state, Callback callback) {
    asio::post(state->context, [state, callback] {
        if (!state->closed) {
            callback();
        }
    });
}

void give_order(const state_pointer& state, target_order order) {
    start(state, [state, order = std::move(order)](const asio::yield_context& yield) {
        const auto error = run_order(*state, order, yield);
        finish(state, [done = order.done, error] { done(error); });
    });
}

void probe(const state_pointer& state, const std::string& address, steady_time deadline,
           const ports::target_control::probe_handler& done) {
    start(state, [state, address, deadline, done](const asio::yield_context& yield) {
        probe_result result;
        const auto error = run_probe(*state, address, deadline, result, yield);
        finish(state, [done, error, result] { done(error, result); });
    });
}

auto order_function(const state_pointer& state, const char* path) {
    return [state, path](const std::string& address, std::vector<slot_grant> grants,
                         steady_time deadline, const ports::target_control::done_handler& done) {
        give_order(state, {path, address, std::move(grants), deadline, done});
    };
}

}  // namespace

}  // namespace detail

http_target_control::http_target_control(asio::io_context& context)
    : state_(std::make_shared<detail::http_target_control_state>(context)) {}

http_target_control::~http_target_control() {
    state_->closed = true;
}

ports::target_control http_target_control::port() const {
    ports::target_control port;
    port.grant = detail::order_function(state_, "/grant");
    port.revoke = detail::order_function(state_, "/revoke");
    port.probe = [state = state_](const std::string& address, steady_time deadline,
                                  const auto& done) {
        detail::probe(state, address, deadline, done);
    };
    return port;
}

}  // namespace mimosavalve::adapters
