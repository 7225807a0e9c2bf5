#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "mimosavalve/core/types.hpp"
#include "mimosavalve/router/routing_snapshot.hpp"

namespace mimosavalve::adapters {

struct target_evidence;

/// Answer of a shard's leader to the claim of an idempotency key.
enum class claim_result {
    granted,      ///< The key was not known; the request may be sent.
    duplicate,    ///< The key is known.
    too_old,      ///< First issued before the leader's table began.
    unavailable,  ///< No leader answered; nothing was claimed as far as this router knows.
};

struct claim_request {
    shard_id shard;
    std::string key;  ///< "route/account/Idempotency-Key"
    std::uint64_t first_attempt_unix_ms = 0;
    steady_time deadline;
};

struct front_end_settings {
    std::string listen_address = "127.0.0.1:0";  ///< "ip:port"; with port 0 the system chooses.
    std::uint32_t threads = 1;
    /// How far ahead `Start-By` may be. The leader of a shard waits as long before a new owner
    /// starts, so all daemons must use the same value.
    std::chrono::milliseconds start_window{250};
    std::size_t max_held = 512;          ///< Requests per thread that wait for a handover.
    std::size_t max_connections = 4096;  ///< Of callers, per thread; more are closed at once.
};

/// Calls out of the traffic threads. All of them may be called from several threads at once.
struct front_end_hooks {
    using claim_handler = std::function<void(claim_result)>;

    /// Asks the control thread. The handler may be called on any thread, once.
    std::function<void(claim_request, claim_handler)> claim;

    /// Evidence of one thread that changed, about every 50 ms.
    std::function<void(std::vector<target_evidence>)> evidence;

    /// A fingerprint that this router found to crash targets, to be spread to the others.
    std::function<void(std::uint64_t)> quarantined;

    /// Called after the drained version of some shard rose.
    std::function<void()> drained;
};

/// Server of the callers: HTTP/1.1 on N threads with one Asio context each.
class http_front_end {
public:
    http_front_end(front_end_settings settings, front_end_hooks hooks);
    ~http_front_end();

    /// Opens the socket and starts the threads. Requests are refused until a snapshot is
    /// published.
    std::error_code start();

    /// Port that the socket is bound to.
    [[nodiscard]] std::uint16_t port() const;

    /// Replaces the input of routing decisions; called by the control thread.
    void publish(const std::shared_ptr<const router::routing_snapshot>& snapshot);

    /// Newest version of the shard that all threads hold and that no request in flight contradicts.
    [[nodiscard]] version drained_version(const shard_id& shard) const;

    /// Stops accepting; answers carry `Connection: close`, running requests finish.
    void begin_stop();

    /// Callers' connections still open.
    [[nodiscard]] std::size_t open_connections() const;

    /// Waits for the callers' connections to end, cuts those left at the deadline and ends the
    /// threads. Includes `begin_stop`.
    void stop(steady_time deadline);

    /// Counters and latencies in text exposition.
    [[nodiscard]] std::string exposition() const;

    /// Largest number of body bytes that were held at once for one request, for tests.
    [[nodiscard]] std::size_t largest_buffered_body() const;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace mimosavalve::adapters
