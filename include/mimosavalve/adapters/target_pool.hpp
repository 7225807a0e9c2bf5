#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <unordered_map>
#include <vector>

#include "mimosavalve/core/types.hpp"
#include "mimosavalve/ownership/shard_state.hpp"
#include "mimosavalve/traffic/target_clock.hpp"

namespace mimosavalve::adapters {

/// What a thread has seen of a target. The leader judges losses by it.
struct target_evidence {
    std::string target;
    std::uint64_t instance = 0;  ///< As last seen; 0 when not seen yet.
    std::uint64_t successes = 0;
    std::uint64_t failures = 0;
    std::uint32_t consecutive_failures = 0;
    steady_time last_success;
    steady_time first_failure;  ///< Of the consecutive ones.
};

/// A connection that carries one request at a time.
struct target_connection {
    explicit target_connection(boost::asio::io_context& context);

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;  ///< Received bytes that are not consumed; at most 64 KB.
    steady_time opened;
    steady_time last_used;
    std::uint64_t instance = 0;  ///< Of the target as seen on this connection; 0 before.
    bool suspected = false;      ///< Silent while a new connection works: not reused.
};

struct pooled_target {
    std::string id;
    std::string address;
    boost::asio::ip::tcp::endpoint endpoint;
    std::vector<std::unique_ptr<target_connection>> idle;
    std::optional<traffic::clock_reading> clock;
    target_evidence evidence;
    bool evidence_changed = false;
    std::uint32_t running = 0;  ///< Requests of this thread that it has now.
};

/// Connections of one thread to its targets. Not safe to use from other threads.
class target_pool {
public:
    explicit target_pool(boost::asio::io_context& context) : context_(context) {}

    /// Entry of a target; it stays in place. A changed address closes its idle connections.
    pooled_target& entry(const ownership::target& target);

    /// An idle connection that is still open, younger than 60 s and idle for at most 2 s, else a
    /// new one. With `need_clock` the target's clock is known afterwards, if need be by a probe.
    /// `errc::target_unreachable` or `errc::deadline_exceeded`; nothing was sent but a probe.
    std::unique_ptr<target_connection> acquire(pooled_target& target, bool need_clock,
                                               steady_time deadline,
                                               const boost::asio::yield_context& yield,
                                               std::error_code& error);

    /// Opens a new connection and probes the target on it; the connection is kept when it works.
    bool probe(pooled_target& target, steady_time deadline,
               const boost::asio::yield_context& yield);

    /// Takes a connection back whose answer was read to its end.
    static void release(pooled_target& target, std::unique_ptr<target_connection> connection,
                        steady_time now);

    /// Notes an answer with its `Target-Clock` and `Target-Instance` values (empty: not given).
    static void record_answer(pooled_target& target, target_connection& connection,
                              std::string_view clock, std::string_view instance, steady_time now);
    static void record_failure(pooled_target& target, steady_time now);

    /// Closes connections that may not be reused and cancels openings past their deadline. To be
    /// called every few milliseconds while requests run.
    void sweep(steady_time now);

    /// Evidence that changed since the last call.
    std::vector<target_evidence> take_evidence();

    [[nodiscard]] std::size_t idle_connections() const;

private:
    struct opening {
        boost::asio::ip::tcp::socket* socket = nullptr;
        steady_time deadline;
        bool expired = false;
    };

    class opening_scope;

    std::unique_ptr<target_connection> open(pooled_target& target, steady_time deadline,
                                            const boost::asio::yield_context& yield,
                                            std::error_code& error);
    bool read_clock(pooled_target& target, target_connection& connection, steady_time deadline,
                    const boost::asio::yield_context& yield);

    boost::asio::io_context& context_;
    std::unordered_map<std::string, std::unique_ptr<pooled_target>> targets_;
    std::vector<opening*> openings_;
};

}  // namespace mimosavalve::adapters
