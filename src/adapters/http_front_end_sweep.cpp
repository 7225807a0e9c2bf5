#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/spawn.hpp>
#include <cerrno>

#include "http_front_end_worker.hpp"

namespace mimosavalve::adapters::front_end {

namespace asio = boost::asio;

namespace detail {

// Deadlines are kept to within this time while requests run.
constexpr std::chrono::milliseconds busy_sweep{5};
constexpr std::chrono::milliseconds quiet_sweep{50};
// Sweeps between looks for callers that are gone, and between checks of connections and evidence.
constexpr std::uint64_t caller_check_period = 4;
constexpr std::uint64_t connection_check_period = 10;
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

void interrupt(exchange_watch& watch) {
    boost::system::error_code ignored;
    watch.caller->cancel(ignored);
    if (watch.target != nullptr) {
        watch.target->cancel(ignored);
    }
    watch.timer->cancel();
}

}  // namespace detail

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
        const auto& latency =
            metrics.class_series(static_cast<config::traffic_class>(index)).latency;
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
