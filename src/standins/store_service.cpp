#include "mimosavalve/standins/store_service.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mimosavalve/adapters/request_target.hpp"
#include "mimosavalve/core/error.hpp"

namespace mimosavalve::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using adapters::http_request;
using adapters::http_response;
using adapters::make_response;

namespace detail {

constexpr std::chrono::milliseconds longest_watch{60000};
constexpr std::chrono::milliseconds longest_lease{24L * 3600L * 1000L};
constexpr std::chrono::milliseconds longest_delay{600000};
constexpr std::size_t max_key_bytes = 1024;

/// A suspended call. Cancelling its timer makes it look at the state again.
struct store_waiter {
    std::string key;  // Empty: waits for the end of an outage or delay only.
    asio::steady_timer timer;
};

struct store_service_state {
    store_service_state(asio::io_context& io, const store_service_options& chosen)
        : context(io), options(chosen), expiry(io) {
        faults.delay = chosen.delay;
    }

    asio::io_context& context;
    store_service_options options;
    store_data data;
    call_counts counts;
    store_faults faults;
    asio::steady_timer expiry;
    std::set<store_waiter*> waiters;
    bool stopping = false;
};

namespace {

using state_pointer = std::shared_ptr<store_service_state>;
using optional_response = std::optional<http_response>;

// A call to the store, with its key or lease taken from the path.
struct store_call {
    call_kind kind = call_kind::read;
    std::string key;
    std::uint64_t lease = 0;
};

// Lists the waiter for as long as it lives, also when its coroutine is unwound.
class waiter_entry {
public:
    waiter_entry(store_service_state& state, store_waiter& waiter)
        : state_(state), waiter_(waiter) {
        state_.waiters.insert(&waiter_);
    }
    waiter_entry(const waiter_entry&) = delete;
    waiter_entry& operator=(const waiter_entry&) = delete;
    ~waiter_entry() { state_.waiters.erase(&waiter_); }

private:
    store_service_state& state_;
    store_waiter& waiter_;
};

void wait_until(store_service_state& state, const std::string& key, steady_time until,
                const asio::yield_context& yield) {
    store_waiter waiter{key, asio::steady_timer(state.context, until)};
    const waiter_entry entry(state, waiter);
    boost::system::error_code ignored;
    waiter.timer.async_wait(yield[ignored]);
}

void wake(store_service_state& state, std::string_view key) {
    for (auto* waiter : state.waiters) {
        if (waiter->key == key) {
            waiter->timer.cancel();
        }
    }
}

void wake_all(store_service_state& state) {
    for (auto* waiter : state.waiters) {
        waiter->timer.cancel();
    }
}

void wake_each(store_service_state& state, const std::vector<std::string>& keys) {
    for (const auto& key : keys) {
        wake(state, key);
    }
}

void arm_expiry(const state_pointer& state);

void expire_due_leases(const state_pointer& state) {
    wake_each(*state, expire_leases(state->data, std::chrono::steady_clock::now()));
    arm_expiry(state);
}

// The timer only wakes watches in time: each call expires due leases first.
void arm_expiry(const state_pointer& state) {
    const auto end = next_lease_end(state->data);
    if (!end || state->stopping) {
        state->expiry.cancel();
        return;
    }
    state->expiry.expires_at(*end);
    state->expiry.async_wait([held = std::weak_ptr(state)](const boost::system::error_code& error) {
        const auto living = held.lock();
        if (!error && living) {
            expire_due_leases(living);
        }
    });
}

http_response answer_with_revision(http::status status, std::uint64_t revision,
                                   std::string body = {}) {
    auto response = make_response(status, std::move(body), "application/octet-stream");
    response.set("Store-Revision", std::to_string(revision));
    return response;
}

http_response bad_request(const std::string& text) {
    return make_response(http::status::bad_request, text + "\n");
}

http_response refusal_of(const std::error_code& error) {
    return make_response(
        error == errc::store_conflict ? http::status::conflict : http::status::gone,
        error.message() + "\n");
}

std::optional<std::uint64_t> number_header(const http_request& request, std::string_view name) {
    const auto found = request.find({name.data(), name.size()});
    if (found == request.end()) {
        return std::nullopt;
    }
    return adapters::parse_number({found->value().data(), found->value().size()});
}

bool has_header(const http_request& request, std::string_view name) {
    return request.find({name.data(), name.size()}) != request.end();
}

http_response value_answer(const store_data& data, std::string_view key) {
    const auto* const value = find_value(data, key);
    if (value == nullptr) {
        return answer_with_revision(http::status::not_found, 0);
    }
    return answer_with_revision(http::status::ok, value->revision, value->bytes);
}

http_response write_value(const state_pointer& state, const store_call& call,
                          const http_request& request) {
    const auto expected = number_header(request, "Expected-Revision");
    const auto lease = number_header(request, "Lease");
    if (!expected) {
        return bad_request("Expected-Revision must be a number");
    }
    if (has_header(request, "Lease") && !lease) {
        return bad_request("Lease must be a number");
    }
    std::error_code error;
    const auto revision = compare_and_swap(state->data, call.key, *expected, request.body(),
                                           lease.value_or(0), error);
    if (error) {
        auto refusal = refusal_of(error);
        refusal.set("Store-Revision", std::to_string(revision));
        return refusal;
    }
    wake(*state, call.key);
    return answer_with_revision(http::status::ok, revision);
}

http_response create_lease(const state_pointer& state, std::string_view query) {
    const auto ttl = adapters::query_number(query, "ttl_ms");
    if (!ttl || *ttl == 0 || *ttl > static_cast<std::uint64_t>(longest_lease.count())) {
        return bad_request("ttl_ms must be 1 to " + std::to_string(longest_lease.count()));
    }
    const auto lease =
        grant_lease(state->data, std::chrono::milliseconds(*ttl), std::chrono::steady_clock::now());
    arm_expiry(state);
    return make_response(http::status::ok, nlohmann::json{{"lease", lease}}.dump() + "\n",
                         "application/json");
}

http_response extend_lease(const state_pointer& state, const store_call& call) {
    const auto error = renew_lease(state->data, call.lease, std::chrono::steady_clock::now());
    arm_expiry(state);
    return error ? refusal_of(error) : make_response(http::status::ok);
}

http_response end_lease(const state_pointer& state, const store_call& call) {
    std::error_code error;
    wake_each(*state, revoke_lease(state->data, call.lease, error));
    arm_expiry(state);
    return error ? refusal_of(error) : make_response(http::status::ok);
}

optional_response watch_value(const state_pointer& state, const store_call& call,
                              std::string_view query, const asio::yield_context& yield) {
    const auto known = adapters::query_number(query, "revision");
    const auto wait_ms = adapters::query_number(query, "wait_ms");
    if (!known || !wait_ms || *wait_ms > static_cast<std::uint64_t>(longest_watch.count())) {
        return bad_request("revision must be a number and wait_ms 0 to " +
                           std::to_string(longest_watch.count()));
    }
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(*wait_ms);
    while (state->faults.outage == outage_kind::none) {
        if (revision_of(state->data, call.key) != *known) {
            return value_answer(state->data, call.key);
        }
        if (state->stopping || std::chrono::steady_clock::now() >= until) {
            return answer_with_revision(http::status::no_content, *known);
        }
        wait_until(*state, call.key, until, yield);
    }
    return std::nullopt;
}

optional_response run_call(const state_pointer& state, const store_call& call,
                           const http_request& request, std::string_view query,
                           const asio::yield_context& yield) {
    switch (call.kind) {
        case call_kind::read:
            return value_answer(state->data, call.key);
        case call_kind::write:
            return write_value(state, call, request);
        case call_kind::lease_grant:
            return create_lease(state, query);
        case call_kind::lease_renew:
            return extend_lease(state, call);
        case call_kind::lease_revoke:
            return end_lease(state, call);
        case call_kind::watch:
            return watch_value(state, call, query, yield);
    }
    return std::nullopt;
}

bool is_write(call_kind kind) {
    return kind != call_kind::read && kind != call_kind::watch;
}

// Ends with the outage; calls that it met are never answered.
void sit_out_outage(store_service_state& state, const asio::yield_context& yield) {
    while (state.faults.outage == outage_kind::hang && !state.stopping) {
        wait_until(state, {}, std::chrono::steady_clock::now() + longest_watch, yield);
    }
}

// A stop or a change of the faults ends the delay early.
void pass_delay(store_service_state& state, const asio::yield_context& yield) {
    if (state.faults.delay.count() != 0 && !state.stopping) {
        wait_until(state, {}, std::chrono::steady_clock::now() + state.faults.delay, yield);
    }
}

bool over_limit(store_service_state& state) {
    const auto calls = calls_this_second(state.counts, std::chrono::steady_clock::now());
    return state.options.calls_per_second != 0 && calls > state.options.calls_per_second;
}

optional_response answer_call(const state_pointer& state, const store_call& call,
                              const http_request& request, std::string_view query,
                              const asio::yield_context& yield) {
    count_call(state->counts, call.kind, std::chrono::steady_clock::now());
    if (over_limit(*state)) {
        return make_response(http::status::too_many_requests, "too many calls in this second\n");
    }
    pass_delay(*state, yield);
    optional_response response;
    if (state->faults.outage == outage_kind::none) {
        expire_due_leases(state);
        response = run_call(state, call, request, query, yield);
    }
    if (!response) {
        sit_out_outage(*state, yield);
        return std::nullopt;
    }
    const auto effective = is_write(call.kind) && response->result() == http::status::ok;
    if (effective && state->faults.lose_answers > 0) {
        --state->faults.lose_answers;
        return std::nullopt;
    }
    return response;
}

// Removes the prefix; false when the text does not start with it.
bool take_prefix(std::string_view& text, std::string_view prefix) {
    if (!text.starts_with(prefix)) {
        return false;
    }
    text.remove_prefix(prefix.size());
    return true;
}

std::optional<store_call> keyed_call(call_kind kind, std::string_view encoded_key) {
    auto key = adapters::percent_decode(encoded_key);
    if (!key || key->empty() || key->size() > max_key_bytes) {
        return std::nullopt;
    }
    return store_call{kind, std::move(*key), 0};
}

std::optional<store_call> lease_call(http::verb method, std::string_view rest) {
    constexpr std::string_view renew_suffix = "/renew";
    auto kind = call_kind::lease_revoke;
    auto expected = http::verb::delete_;
    if (rest.ends_with(renew_suffix)) {
        rest.remove_suffix(renew_suffix.size());
        kind = call_kind::lease_renew;
        expected = http::verb::post;
    }
    const auto lease = adapters::parse_number(rest);
    if (method != expected || !lease) {
        return std::nullopt;
    }
    return store_call{kind, {}, *lease};
}

std::optional<store_call> parse_call(http::verb method, std::string_view path) {
    if (take_prefix(path, "/v1/kv/")) {
        if (method == http::verb::get) {
            return keyed_call(call_kind::read, path);
        }
        return method == http::verb::put ? keyed_call(call_kind::write, path) : std::nullopt;
    }
    if (method == http::verb::get && take_prefix(path, "/v1/watch/")) {
        return keyed_call(call_kind::watch, path);
    }
    if (method == http::verb::post && path == "/v1/leases") {
        return store_call{call_kind::lease_grant, {}, 0};
    }
    if (take_prefix(path, "/v1/leases/")) {
        return lease_call(method, path);
    }
    return std::nullopt;
}

std::optional<outage_kind> parse_outage(const nlohmann::json& value) {
    if (value == "none") {
        return outage_kind::none;
    }
    if (value == "hang") {
        return outage_kind::hang;
    }
    if (value == "close") {
        return outage_kind::close;
    }
    return std::nullopt;
}

bool read_fault(store_faults& faults, const std::string& name, const nlohmann::json& value) {
    if (name == "delay_ms" && value.is_number_unsigned()) {
        faults.delay =
            std::min(std::chrono::milliseconds(value.get<std::uint32_t>()), longest_delay);
        return true;
    }
    if (name == "lose_answers" && value.is_number_unsigned()) {
        faults.lose_answers = value.get<std::uint64_t>();
        return true;
    }
    if (name == "outage") {
        const auto outage = parse_outage(value);
        faults.outage = outage.value_or(faults.outage);
        return outage.has_value();
    }
    return false;
}

void apply_faults(store_service_state& state, const store_faults& faults) {
    state.faults = faults;
    wake_all(state);
}

http_response change_faults(store_service_state& state, const http_request& request) {
    const auto json = nlohmann::json::parse(request.body(), nullptr, false);
    if (!json.is_object()) {
        return bad_request("the body must be a JSON object");
    }
    auto faults = state.faults;
    for (const auto& [name, value] : json.items()) {
        if (!read_fault(faults, name, value)) {
            return bad_request(name +
                               " is not allowed; allowed are \"delay_ms\": 0 to 600000, "
                               "\"outage\": \"none\", \"hang\" or \"close\", and "
                               "\"lose_answers\": a number from 0");
        }
    }
    apply_faults(state, faults);
    return make_response(http::status::ok);
}

std::size_t waiting_watches(const store_service_state& state) {
    return static_cast<std::size_t>(
        std::count_if(state.waiters.begin(), state.waiters.end(),
                      [](const store_waiter* waiter) { return !waiter->key.empty(); }));
}

http_response show_stats(store_service_state& state) {
    auto total = nlohmann::json::object();
    auto recent = nlohmann::json::object();
    const auto now = std::chrono::steady_clock::now();
    for (std::size_t index = 0; index < call_kind_count; ++index) {
        const auto kind = static_cast<call_kind>(index);
        const std::string name(to_string(kind));
        total[name] = total_calls(state.counts, kind);
        recent[name] = recent_calls(state.counts, kind, now);
    }
    const nlohmann::json stats{{"total", total},
                               {"last_60_seconds", recent},
                               {"waiting_watches", waiting_watches(state)},
                               {"keys", state.data.values.size()},
                               {"leases", state.data.leases.size()},
                               {"revision", state.data.last_revision}};
    return make_response(http::status::ok, stats.dump() + "\n", "application/json");
}

optional_response answer(const state_pointer& state, const http_request& request,
                         const asio::yield_context& yield) {
    const auto [path, query] =
        adapters::split_target({request.target().data(), request.target().size()});
    if (path == "/faults" && request.method() == http::verb::post) {
        return change_faults(*state, request);
    }
    if (path == "/stats" && request.method() == http::verb::get) {
        return show_stats(*state);
    }
    const auto call = parse_call(request.method(), path);
    if (!call) {
        return bad_request("no such call, or a bad key or lease");
    }
    return answer_call(state, *call, request, query, yield);
}

}  // namespace

}  // namespace detail

store_service::store_service(asio::io_context& context, store_service_options options)
    : state_(std::make_shared<detail::store_service_state>(context, options)) {}

store_service::~store_service() {
    stop();
}

adapters::http_handler store_service::handler() const {
    return [state = state_](const http_request& request, const asio::yield_context& yield) {
        return detail::answer(state, request, yield);
    };
}

void store_service::stop() {
    state_->stopping = true;
    state_->expiry.cancel();
    detail::wake_all(*state_);
}

const store_data& store_service::data() const {
    return state_->data;
}

const call_counts& store_service::counts() const {
    return state_->counts;
}

const store_faults& store_service::faults() const {
    return state_->faults;
}

void store_service::set_faults(const store_faults& faults) {
    detail::apply_faults(*state_, faults);
}

}  // namespace mimosavalve::standins
