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

/// Parts and settings of the daemon that operators' commands use.
struct operator_environment {
    std::string host;
    std::string region;
    std::string failure_domain;
    std::string peer_address;  ///< "ip:port" of this router's peer socket.
    instance_id self;
    ports::store store;
    ports::peers peers;
    const control::control_plane* plane = nullptr;
    const observe::event_log* events = nullptr;
    std::function<std::vector<command::status_counter>()> counters;
};

/// Returns the control thread's clock, timers and store for `command::submit_change`.
command::writer_environment make_writer_environment(boost::asio::io_context& context,
                                                    ports::store store);

/// Runs operators' commands on the control thread.
class operator_service {
public:
    operator_service(boost::asio::io_context& context, operator_environment environment);

    /// Runs a command and suspends the coroutine until its result.
    command::command_result run_command(std::string_view text,
                                        const boost::asio::yield_context& yield);

    /// Handles an event query of another router or a reply to one of this router; false for other
    /// messages.
    bool on_message(const wire::Envelope& message);

    /// Records which configuration versions are in force and ends queries and waits that are
    /// complete or due; called about every 10 ms.
    void on_tick(steady_time now);

private:
    /// An event query to all routers that not all of them have answered.
    struct pending_event_query {
        std::uint64_t number = 0;
        steady_time deadline;
        std::map<std::string, std::string> unanswered;  ///< Peer address to host.
        command::event_answer answer;
        std::function<void(command::event_answer)> handler;
    };

    /// A command that waits until a configuration version is in force.
    struct pending_version_wait {
        std::uint64_t version = 0;
        steady_time deadline;
        std::function<void(command::wait_answer)> handler;
    };

    struct shard_progress {
        version activated;
        /// Wall clock time at which this router first saw `activated`.
        std::uint64_t since_unix_ms = 0;
        std::uint64_t config_version = 0;  ///< Newest configuration in force on the shard.
    };

    command::command_context make_context();
    [[nodiscard]] std::vector<command::shard_report> shard_reports() const;
    [[nodiscard]] std::vector<command::router_report> router_reports() const;
    [[nodiscard]] std::uint64_t config_in_force() const;
    [[nodiscard]] command::wait_answer version_wait_answer(std::uint64_t version) const;
    void start_event_query(const observe::event_query& query, steady_time deadline,
                           std::function<void(command::event_answer)> handler);
    void answer_event_query(const wire::Envelope& message) const;
    void receive_event_reply(const wire::Envelope& message);
    void finish_event_queries(steady_time now);
    void finish_version_waits(steady_time now);

    boost::asio::io_context& context_;
    operator_environment environment_;
    command::writer_environment writer_;
    command::command_context commands_;
    std::map<shard_id, shard_progress> progress_;
    std::vector<pending_event_query> event_queries_;
    std::vector<pending_version_wait> version_waits_;
    /// Numbers the event queries and makes the identities of changes from this router unique.
    std::uint64_t next_number_ = 1;
};

}  // namespace mimosavalve::router
