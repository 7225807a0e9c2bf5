#include "http_front_end_worker.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>

#include "http_front_end_session.hpp"

namespace mimosavalve::adapters::front_end {

namespace asio = boost::asio;

namespace detail {

// Keep-alive connections may still bring a request that was under way when a stop began.
constexpr std::chrono::seconds stop_grace{1};
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
    traffic::adopt_table(in_flight_, *table_);
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

}  // namespace mimosavalve::adapters::front_end
