#include "mimosavalve/load/load_runner.hpp"

#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <list>

#include "load_attempt.hpp"
#include "load_connection.hpp"
#include "mimosavalve/load/request_plan.hpp"

namespace mimosavalve::load {

namespace detail {

using clock = std::chrono::steady_clock;

// Request ids of two runs must differ, or a checker would mix their histories up.
std::string run_name(const load_settings& settings) {
    if (!settings.run.empty()) {
        return settings.run;
    }
    std::random_device device;
    return "s" + std::to_string(settings.seed) + "-" + std::to_string(device());
}

}  // namespace detail

struct load_runner::state {
    state(boost::asio::io_context& io, const load_settings& wanted)
        : context(io), settings(wanted), planner(settings, detail::run_name(settings)) {}

    void work(const boost::asio::yield_context& yield);
    void wait_until(detail::clock::time_point at, const boost::asio::yield_context& yield);
    bool may_send() const;
    void run_request(const planned_request& request, detail::clock::time_point arrival,
                     const boost::asio::yield_context& yield);
    void note(const planned_request& request, const attempt_record& record);

    boost::asio::io_context& context;
    load_settings settings;
    request_planner planner;
    connection_pool pool;
    load_summary summary;
    std::ofstream history;
    std::list<boost::asio::steady_timer*> waiting;
    detail::clock::time_point started;
    detail::clock::time_point next_arrival;
    detail::clock::time_point ended;
    std::uint64_t sent = 0;
    std::uint32_t workers = 0;
    bool stopped = false;
};

void load_runner::state::wait_until(detail::clock::time_point at,
                                    const boost::asio::yield_context& yield) {
    boost::asio::steady_timer timer(context, at);
    const auto place = waiting.insert(waiting.end(), &timer);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
    waiting.erase(place);
}

bool load_runner::state::may_send() const {
    const bool more = settings.count == 0 || sent < settings.count;
    return !stopped && more && next_arrival < started + settings.duration;
}

void load_runner::state::work(const boost::asio::yield_context& yield) {
    while (may_send()) {
        ++sent;
        if (settings.mode == load_mode::closed_loop) {
            next_arrival = detail::clock::now();
        }
        // Latency counts from the arrival, so that a late start of the request is part of it.
        const auto arrival = next_arrival;
        if (settings.mode == load_mode::open_loop) {
            next_arrival += planner.next_gap();
            wait_until(arrival, yield);
        }
        if (!stopped) {
            run_request(planner.next(arrival - started), arrival, yield);
        }
    }
    ended = detail::clock::now();
    if (--workers == 0) {
        summary.outages.finish(ended.time_since_epoch().count());
    }
}

void load_runner::state::run_request(const planned_request& request,
                                     detail::clock::time_point arrival,
                                     const boost::asio::yield_context& yield) {
    attempt_plan plan{&request, 1, "", settings.timeout};
    attempt_record record;
    for (;; ++plan.number) {
        plan.router = planner.choose_router(*request.account, plan.router).address;
        record = send_attempt(plan, pool, context.get_executor(), yield);
        note(request, record);
        if (!may_repeat(record) || plan.number > settings.repeats || stopped) {
            break;
        }
        wait_until(detail::clock::now() + settings.repeat_wait, yield);
    }
    add_request(summary, request.entry->name, record, detail::clock::now() - arrival);
}

void load_runner::state::note(const planned_request& request, const attempt_record& record) {
    add_attempt(summary, request.entry->name, record);
    if (history.is_open()) {
        history << to_json(record) << std::endl;
    }
}

load_runner::load_runner(boost::asio::io_context& context, const load_settings& settings)
    : state_(std::make_unique<state>(context, settings)) {}

load_runner::~load_runner() = default;

std::error_code load_runner::start() {
    if (!state_->settings.history_file.empty()) {
        state_->history.open(state_->settings.history_file, std::ios::app);
        if (!state_->history) {
            return std::make_error_code(std::errc::io_error);
        }
    }
    state_->started = detail::clock::now();
    state_->next_arrival = state_->started;
    state_->workers = state_->settings.connections;
    for (std::uint32_t worker = 0; worker < state_->settings.connections; ++worker) {
        boost::asio::spawn(state_->context,
                           [state = state_.get()](const boost::asio::yield_context& yield) {
                               state->work(yield);
                           });
    }
    return {};
}

void load_runner::stop() {
    state_->stopped = true;
    for (auto* timer : state_->waiting) {
        timer->cancel();
    }
}

bool load_runner::finished() const {
    return state_->workers == 0;
}

const load_summary& load_runner::summary() const {
    return state_->summary;
}

std::chrono::nanoseconds load_runner::run_time() const {
    return state_->ended - state_->started;
}

}  // namespace mimosavalve::load
