#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "mimosavalve/command/execute.hpp"
#include "mimosavalve/control/control_plane.hpp"
#include "mimosavalve/observe/event_log.hpp"
#include "mimosavalve/ports/peers.hpp"

namespace mimosavalve::wire {
class Envelope;
}

namespace mimosavalve::router {

/// What the operators' commands need of the daemon around them.
struct operator_environment {
    std::string host;
    std::string region;
    std::string failure_domain;
    std::string peer_address;  ///< "ip:port" of the own peer socket.
    instance_id self;
    ports::store store;
    ports::peers peers;
    const control::control_plane* plane = nullptr;
    const observe::event_log* events = nullptr;
    std::function<std::vector<command::status_counter>()> counters;
};

/// Clock, timers and store of the control thread for `command::submit_change`.
command::writer_environment make_writer_environment(boost::asio::io_context& context,
                                                    ports::store store);

/// Runs operators' commands on the control thread.
class operator_service {
public:
    operator_service(boost::asio::io_context& context, operator_environment environment);

    /// Runs a command and suspends until its result.
    command::command_result run(std::string_view text, const boost::asio::yield_context& yield);

    /// Handles a query for event records or an answer to one; false for other messages.
    bool on_message(const wire::Envelope& message);

    /// Follows which configuration versions are in force; called about every 10 ms.
    void on_tick(steady_time now);

private:
    struct event_gathering {
        std::uint64_t number = 0;
        steady_time deadline;
        std::map<std::string, std::string> waiting;  ///< Peer address to host.
        command::event_answer answer;
        std::function<void(command::event_answer)> handler;
    };

    struct version_wait {
        std::uint64_t version = 0;
        steady_time deadline;
        std::function<void(command::wait_answer)> handler;
    };

    struct shard_progress {
        version in_force;
        std::uint64_t since_unix_ms = 0;
        std::uint64_t config_version = 0;  ///< Newest one in force on the shard.
    };

    command::command_context make_context();
    [[nodiscard]] std::vector<command::shard_report> shard_reports() const;
    [[nodiscard]] std::vector<command::router_report> router_reports() const;
    [[nodiscard]] std::uint64_t config_in_force() const;
    [[nodiscard]] command::wait_answer wait_state(std::uint64_t version) const;
    void gather(const observe::event_query& query, steady_time deadline,
                std::function<void(command::event_answer)> handler);
    void answer_query(const wire::Envelope& message) const;
    void take_answer(const wire::Envelope& message);
    void finish_gatherings(steady_time now);
    void finish_waits(steady_time now);

    boost::asio::io_context& context_;
    operator_environment environment_;
    command::writer_environment writer_;
    command::command_context commands_;
    std::map<shard_id, shard_progress> progress_;
    std::vector<event_gathering> gatherings_;
    std::vector<version_wait> waits_;
    std::uint64_t next_number_ = 1;
};

}  // namespace mimosavalve::router
