#include "router/operator_service.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "control.pb.h"
#include "router/clock.hpp"
#include "router/event_codec.hpp"

namespace mimosavalve::router {

namespace detail {

/// Result of a command and the timer on which the coroutine waits for it.
struct pending_result {
    explicit pending_result(boost::asio::io_context& context)
        : wake_timer(context, steady_time::max()) {}

    boost::asio::steady_timer wake_timer;
    std::optional<command::command_result> result;
};

}  // namespace detail

command::writer_environment make_writer_environment(boost::asio::io_context& context,
                                                    ports::store store) {
    command::writer_environment environment;
    environment.store = std::move(store);
    environment.now = steady_now;
    environment.after = [&context](std::chrono::milliseconds delay, std::function<void()> action) {
        auto timer = std::make_shared<boost::asio::steady_timer>(context, delay);
        timer->async_wait(
            [timer, action = std::move(action)](const boost::system::error_code& error) {
                if (!error) {
                    action();
                }
            });
    };
    return environment;
}

operator_service::operator_service(boost::asio::io_context& context,
                                   operator_environment environment)
    : context_(context),
      environment_(std::move(environment)),
      writer_(make_writer_environment(context, environment_.store)),
      commands_(make_context()) {}

command::command_context operator_service::make_context() {
    command::command_context commands;
    commands.host = environment_.host;
    commands.region = environment_.region;
    commands.fleet_config = [this]() -> std::shared_ptr<const config::fleet_config> {
        const auto snapshot = environment_.plane->snapshot();
        return snapshot ? snapshot->config : nullptr;
    };
    commands.shards = [this] { return shard_reports(); };
    commands.routers = [this] { return router_reports(); };
    commands.counters = environment_.counters;
    commands.config_in_force = [this] { return config_in_force(); };
    commands.wait_in_force = [this](std::uint64_t version, steady_time deadline,
                                    std::function<void(command::wait_answer)> handler) {
        version_waits_.push_back({version, deadline, std::move(handler)});
    };
    commands.query_events = [this](const observe::event_query& query, steady_time deadline,
                                   std::function<void(command::event_answer)> handler) {
        start_event_query(query, deadline, std::move(handler));
    };
    commands.submit_change = [this](command::change_request request, steady_time deadline,
                                    command::change_handler handler) {
        command::submit_change(writer_, std::move(request), deadline, std::move(handler));
    };
    commands.try_change = [this](command::change_request request, steady_time deadline,
                                 command::change_handler handler) {
        command::try_change(writer_, std::move(request), deadline, std::move(handler));
    };
    commands.make_identity = [this] {
        return to_string(environment_.self) + "-" + std::to_string(next_number_++);
    };
    commands.now = steady_now;
    commands.unix_ms = unix_ms_now;
    return commands;
}

command::command_result operator_service::run_command(std::string_view text,
                                                      const boost::asio::yield_context& yield) {
    // Shared with the handler, which may be called after this coroutine was destroyed.
    const auto pending = std::make_shared<detail::pending_result>(context_);
    command::execute(text, commands_, [pending](command::command_result result) {
        pending->result = std::move(result);
        pending->wake_timer.cancel();
    });
    while (!pending->result) {
        boost::system::error_code error;
        pending->wake_timer.async_wait(yield[error]);
    }
    return std::move(*pending->result);
}

bool operator_service::on_message(const wire::Envelope& message) {
    if (message.has_events_query()) {
        answer_event_query(message);
        return true;
    }
    if (message.has_events_reply()) {
        receive_event_reply(message);
        return true;
    }
    return false;
}

void operator_service::on_tick(steady_time now) {
    if (const auto snapshot = environment_.plane->snapshot()) {
        for (const auto& view : snapshot->shards) {
            auto& progress = progress_[view.state->shard];
            if (view.activated > progress.activated) {
                progress.activated = view.activated;
                progress.since_unix_ms = unix_ms_now();
            }
            if (view.activated >= view.state->at) {
                progress.config_version =
                    std::max(progress.config_version, view.state->config_version);
            }
        }
    }
    finish_event_queries(now);
    finish_version_waits(now);
}

std::vector<command::shard_report> operator_service::shard_reports() const {
    std::vector<command::shard_report> reports;
    const auto snapshot = environment_.plane->snapshot();
    if (!snapshot) {
        return reports;
    }
    for (const auto& view : snapshot->shards) {
        command::shard_report report;
        report.state = view.state;
        report.in_force = view.activated;
        const auto found = progress_.find(view.state->shard);
        report.in_force_since_unix_ms = found == progress_.end() ? 0 : found->second.since_unix_ms;
        report.lease_until = view.serving_lease->until();
        reports.push_back(std::move(report));
    }
    return reports;
}

std::vector<command::router_report> operator_service::router_reports() const {
    std::vector<command::router_report> reports;
    for (const auto& router : environment_.plane->routers()) {
        command::router_report report;
        report.id = router.id;
        report.region = router.region;
        report.address = router.address;
        report.config_version = router.config_version;
        reports.push_back(std::move(report));
    }
    return reports;
}

std::uint64_t operator_service::config_in_force() const {
    const auto snapshot = environment_.plane->snapshot();
    if (!snapshot || !snapshot->config) {
        return 0;
    }
    const auto expected = snapshot->config->regions.size() * snapshot->config->shards_per_region;
    if (progress_.size() < expected) {
        return 0;
    }
    auto oldest = snapshot->config->version;
    for (const auto& [shard, progress] : progress_) {
        oldest = std::min(oldest, progress.config_version);
    }
    return oldest;
}

command::wait_answer operator_service::version_wait_answer(std::uint64_t version) const {
    command::wait_answer answer;
    answer.in_force = config_in_force() >= version;
    for (const auto& router : environment_.plane->routers()) {
        if (router.config_version < version) {
            answer.laggards.push_back(to_string(router.id));
        }
    }
    return answer;
}

void operator_service::finish_version_waits(steady_time now) {
    std::vector<pending_version_wait> open;
    for (auto& wait : std::exchange(version_waits_, {})) {
        auto answer = version_wait_answer(wait.version);
        if (answer.in_force || now >= wait.deadline) {
            wait.handler(std::move(answer));
        } else {
            open.push_back(std::move(wait));
        }
    }
    version_waits_.insert(version_waits_.end(), std::make_move_iterator(open.begin()),
                          std::make_move_iterator(open.end()));
}

void operator_service::start_event_query(const observe::event_query& query, steady_time deadline,
                                         std::function<void(command::event_answer)> handler) {
    pending_event_query pending;
    pending.number = next_number_++;
    pending.deadline = deadline;
    pending.handler = std::move(handler);
    auto own_query = query;
    own_query.asking_region = environment_.region;
    pending.answer.records.push_back(environment_.events->query(own_query));
    wire::Envelope message;
    set_sender(message, environment_.self, environment_.peer_address);
    auto& out = *message.mutable_events_query();
    out.set_number(pending.number);
    to_wire(own_query, out);
    for (const auto& router : environment_.plane->routers()) {
        if (router.id != environment_.self) {
            pending.unanswered[router.address] = router.id.host;
            environment_.peers.send(router.address, message);
        }
    }
    event_queries_.push_back(std::move(pending));
}

void operator_service::answer_event_query(const wire::Envelope& message) const {
    wire::Envelope answer;
    set_sender(answer, environment_.self, environment_.peer_address);
    auto& out = *answer.mutable_events_reply();
    out.set_number(message.events_query().number());
    for (const auto& record : environment_.events->query(from_wire(message.events_query()))) {
        to_wire(record, *out.add_events());
    }
    environment_.peers.send(message.sender_address(), answer);
}

void operator_service::receive_event_reply(const wire::Envelope& message) {
    const auto& reply = message.events_reply();
    for (auto& pending : event_queries_) {
        const bool awaited = pending.number == reply.number() &&
                             pending.unanswered.erase(message.sender_address()) > 0;
        if (!awaited) {
            continue;
        }
        std::vector<observe::event_record> records;
        for (const auto& record : reply.events()) {
            if (auto decoded = from_wire(record)) {
                records.push_back(std::move(*decoded));
            }
        }
        pending.answer.records.push_back(std::move(records));
    }
}

void operator_service::finish_event_queries(steady_time now) {
    std::vector<pending_event_query> open;
    for (auto& pending : std::exchange(event_queries_, {})) {
        if (!pending.unanswered.empty() && now < pending.deadline) {
            open.push_back(std::move(pending));
            continue;
        }
        for (const auto& [address, host] : pending.unanswered) {
            pending.answer.silent_hosts.push_back(host);
        }
        pending.handler(std::move(pending.answer));
    }
    event_queries_.insert(event_queries_.end(), std::make_move_iterator(open.begin()),
                          std::make_move_iterator(open.end()));
}

}  // namespace mimosavalve::router
