#include "http_front_end_worker.hpp"

#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <cerrno>

#include "http_front_end_session.hpp"

namespace mimosavalve::adapters::front_end {

namespace asio = boost::asio;

namespace detail {

// Deadlines are kept to within this time while requests run.
constexpr std::chrono::milliseconds busy_sweep{5};
constexpr std::chrono::milliseconds quiet_sweep{50};
// Sweeps between looks for callers that are gone, and between checks of connections and evidence.
constexpr std::uint64_t caller_check_period = 4;
constexpr std::uint64_t connection_check_period = 10;
// Keep-alive connections may still bring a request that was under way when a stop began.
constexpr std::chrono::seconds stop_grace{1};
// An answer is overdue after this many times the p99 of its class, with a floor against noise.
constexpr double usual_part = 0.99;
constexpr int silent_factor = 4;
constexpr std::uint64_t answers_to_know = 100;
constexpr std::chrono::milliseconds least_silence{20};
constexpr std::chrono::milliseconds unknown_silence{500};
constexpr std::chrono::seconds probe_limit{1};

/// An orderly or hard end. Bytes of a next request hide an end that follows them.
bool is_closed(tcp::socket& socket) {
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

template <typename Watch>
void insert(std::vector<Watch*>& list, Watch& watch) {
    watch.position = list.size();
    list.push_back(&watch);
}

template <typename Watch>
void erase(std::vector<Watch*>& list, Watch& watch) {
    auto* last = list.back();
    last->position = watch.position;
    list[watch.position] = last;
    list.pop_back();
}

void interrupt(exchange_watch& watch) {
    boost::system::error_code ignored;
    watch.caller->cancel(ignored);
    if (watch.target != nullptr) {
        watch.target->cancel(ignored);
    }
    watch.timer->cancel();
}

/// The table with a reference count of this thread's own, so that threads do not contend for one
/// counter with every request.
std::shared_ptr<const traffic::routing_table> own_reference(
    std::shared_ptr<const traffic::routing_table> table) {
    using holder = std::shared_ptr<const traffic::routing_table>;
    const auto* pointer = table.get();
    return {std::make_shared<holder>(std::move(table)), pointer};
}

}  // namespace detail

worker::worker(shared_state& state)
    : shared(state),
      pool(context_),
      metrics(state.labels),
      random(std::random_device{}()),
      work_(asio::make_work_guard(context_)),
      sweep_timer_(context_) {}

void worker::run_thread() {
    thread_ = std::thread([this] {
        arm_sweep(false);
        context_.run();
    });
}

void worker::release() {
    asio::post(context_, [this] {
        released_ = true;
        work_.reset();
        if (connections_.empty()) {
            sweep_timer_.cancel();
        }
    });
}

void worker::join() {
    if (thread_.joinable()) {
        thread_.join();
    }
}

void worker::post_refresh() {
    asio::post(context_, [this] { table(); });
}

void worker::post_stop() {
    asio::post(context_, [this] {
        const auto limit = std::chrono::steady_clock::now() + detail::stop_grace;
        for (auto* connection : connections_) {
            if (connection->between_requests) {
                connection->limit = std::min(connection->limit, limit);
            }
        }
    });
}

void worker::post_cut() {
    asio::post(context_, [this] {
        cut_ = true;
        sweep();
    });
}

version worker::drained_version(const shard_id& shard) const {
    const std::lock_guard lock(drained_mutex_);
    for (const auto& drain : drained_) {
        if (drain.shard == shard) {
            return drain.drained;
        }
    }
    return {};
}

void worker::serve(tcp::socket socket) {
    const bool too_many = connections_.size() >= shared.settings.max_connections;
    if (too_many) {
        return;
    }
    ++shared.connections;
    asio::spawn(context_,
                [this, socket = std::move(socket)](const asio::yield_context& yield) mutable {
                    serve_connection(*this, std::move(socket), yield);
                    --shared.connections;
                });
}

const std::shared_ptr<const traffic::routing_table>& worker::table() {
    if (shared.table_number.load(std::memory_order_acquire) != table_number_) {
        adopt_table();
    }
    return table_;
}

void worker::adopt_table() {
    // The number is read first: a table published in between is adopted again, not missed.
    table_number_ = shared.table_number.load(std::memory_order_acquire);
    table_ = detail::own_reference(shared.table.load());
    traffic::adopt(in_flight_, *table_);
    publish_drained();
    wake_held();
}

void worker::publish_drained() {
    {
        const std::lock_guard lock(drained_mutex_);
        drained_ = in_flight_.shards;
    }
    if (shared.hooks.drained) {
        shared.hooks.drained();
    }
}

void worker::add(exchange_watch& watch) {
    watch.number = ++exchange_number_;
    detail::insert(exchanges_, watch);
    if (!sweeping_soon_) {
        arm_sweep(true);
    }
}

void worker::remove(exchange_watch& watch) {
    detail::erase(exchanges_, watch);
}

void worker::add(connection_watch& watch) {
    detail::insert(connections_, watch);
}

void worker::remove(connection_watch& watch) {
    detail::erase(connections_, watch);
}

void worker::sent(traffic::in_flight_request& request) {
    traffic::add(in_flight_, request);
}

void worker::ended(traffic::in_flight_request& request) {
    if (traffic::remove(in_flight_, request)) {
        publish_drained();
    }
}

bool worker::hold(exchange_watch& watch, const asio::yield_context& yield) {
    if (held_.size() >= shared.settings.max_held) {
        return false;
    }
    held_.push_back(&watch);
    pause(watch, watch.deadline, yield);
    std::erase(held_, &watch);
    return true;
}

void worker::pause(exchange_watch& watch, steady_time until, const asio::yield_context& yield) {
    if (watch.stopped()) {
        return;
    }
    boost::system::error_code ignored;
    watch.timer->expires_at(until);
    watch.timer->async_wait(yield[ignored]);
}

void worker::wake_held() {
    for (auto* watch : held_) {
        watch->timer->cancel();
    }
}

void worker::append_request_id(std::string& out) {
    static constexpr std::string_view digits = "0123456789abcdef";
    auto number = random();
    for (int digit = 0; digit < 16; ++digit) {
        out.push_back(digits[number % digits.size()]);
        number /= digits.size();
    }
}

void worker::arm_sweep(bool soon) {
    sweeping_soon_ = soon;
    sweep_timer_.expires_after(soon ? detail::busy_sweep : detail::quiet_sweep);
    sweep_timer_.async_wait([this](const boost::system::error_code& error) {
        // A sweep that was armed anew cancels this one.
        if (error) {
            return;
        }
        sweep();
        if (!released_ || !connections_.empty() || probes_running_ > 0) {
            arm_sweep(!exchanges_.empty());
        }
    });
}

void worker::sweep() {
    const auto now = std::chrono::steady_clock::now();
    ++sweeps_;
    check_exchanges(now);
    // Held requests look at their serving lease again, whose renewal publishes no table.
    wake_held();
    grant_waiting(now);
    pool.sweep(now);
    if (!sweeping_soon_ || cut_ || sweeps_ % detail::connection_check_period == 0) {
        check_connections(now);
        update_silent_limits();
        report_evidence();
        shared.find_crashing(now);
    }
}

void worker::check_exchanges(steady_time now) {
    const bool look_for_callers = sweeps_ % detail::caller_check_period == 0;
    for (auto* watch : exchanges_) {
        if (watch->stopped()) {
            continue;
        }
        watch->expired = now >= watch->deadline || cut_;
        watch->caller_gone = look_for_callers && detail::is_closed(*watch->caller);
        if (watch->stopped()) {
            detail::interrupt(*watch);
        } else if (watch->awaited != nullptr && !watch->probed) {
            probe_silent(*watch, now);
        }
    }
}

void worker::check_connections(steady_time now) {
    for (auto* connection : connections_) {
        if (cut_ || (!connection->timed_out && now >= connection->limit)) {
            connection->timed_out = true;
            boost::system::error_code ignored;
            connection->socket->cancel(ignored);
        }
    }
}

void worker::report_evidence() {
    if (!shared.hooks.evidence) {
        return;
    }
    auto changed = pool.take_evidence();
    if (!changed.empty()) {
        shared.hooks.evidence(std::move(changed));
    }
}

void worker::grant_waiting(steady_time now) {
    for (auto& [target, gate] : gates.gates) {
        if (gate->queue.size > 0) {
            grant_places(*gate, chance(), now);
        }
    }
}

void worker::update_silent_limits() {
    for (std::size_t index = 0; index < silent_limits_.size(); ++index) {
        const auto& latency = metrics.of_class(static_cast<config::traffic_class>(index)).latency;
        const auto p99 = std::chrono::microseconds(latency.quantile(detail::usual_part));
        const bool known = latency.total() >= detail::answers_to_know;
        silent_limits_.at(index) = known ? std::max<std::chrono::microseconds>(
                                               detail::silent_factor * p99, detail::least_silence)
                                         : std::chrono::microseconds(detail::unknown_silence);
    }
}

/// A new connection tells a silent connection from a slow target.
void worker::probe_silent(exchange_watch& watch, steady_time now) {
    const auto limit = silent_limits_.at(static_cast<std::size_t>(watch.priority));
    if (limit.count() == 0 || now - watch.sent < limit) {
        return;
    }
    watch.probed = true;
    ++metrics.silent_probes;
    ++probes_running_;
    asio::spawn(context_, [this, target = watch.awaited, number = watch.number,
                           now](const asio::yield_context& yield) {
        if (pool.probe(*target, now + detail::probe_limit, yield)) {
            suspect(number);
        }
        --probes_running_;
    });
}

/// The request may be answered until its deadline, but its connection carries no other one.
void worker::suspect(std::uint64_t number) {
    for (auto* watch : exchanges_) {
        if (watch->number == number && watch->awaited != nullptr) {
            watch->connection->suspected = true;
        }
    }
}

}  // namespace mimosavalve::adapters::front_end
