#pragma once

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "mimosavalve/gateway/call_client.hpp"
#include "store_standin.hpp"
#include "target_standin.hpp"

namespace mimosavalve::platform::testing {

/// Outcome of one request of a caller.
struct caller_outcome {
    unsigned status = 0;  ///< 0: not finished; 599: ended without a whole answer.
    std::string body;
};

/// Fleet of real router processes on loopback addresses. Stand-ins for the platform's store and for
/// targets are in this process; they make progress only during `run_for` and `run_until`.
class fleet_fixture {
public:
    fleet_fixture();
    ~fleet_fixture();
    fleet_fixture(const fleet_fixture&) = delete;
    fleet_fixture& operator=(const fleet_fixture&) = delete;

    /// Adds the keyed targets "k1" and "k2" of the service "status", and the targets "o1" and "o2"
    /// of "orders".
    void add_default_targets();
    target_standin& add_target(const std::string& id, const std::string& service, bool keyed);
    void remove_target(const std::string& id);
    /// Ends a target and starts another one at its address, without an update of the store.
    target_standin& replace_without_store_update(const std::string& id, const std::string& new_id);
    /// Writes the entry of a target to the store.
    void write_store_entry(target_standin& target);
    /// The store refuses all routers for the time `away`, and comes back from its copy.
    void restore_store(gateway::milliseconds away);
    /// Writes a configuration with the routes "/status/" (idempotent, keyed) and "/orders/" (at
    /// most once).
    void put_config(unsigned version, const std::string& orders_service = "orders",
                    gateway::milliseconds orders_timeout = gateway::milliseconds(2000),
                    int added_routes = 0);

    void start_router(const std::string& host);
    /// Sends a signal to the process of a router. After `SIGKILL` waits for its end.
    void signal_router(const std::string& host, int signal);
    [[nodiscard]] bool has_ended(const std::string& host);
    [[nodiscard]] std::string log_of(const std::string& host) const;
    /// Host of the leader according to the record in the store; empty when there is no leader.
    [[nodiscard]] std::string leader() const;

    void run_for(gateway::milliseconds time);
    /// Runs until `done` returns true; returns false when it does not within `timeout`.
    bool run_until(const std::function<bool()>& done,
                   gateway::milliseconds timeout = std::chrono::seconds(20));
    /// Runs until each running router serves requests with the first and the last key.
    bool run_until_serving();

    /// Sends a request; its outcome is set while the fleet runs.
    std::shared_ptr<caller_outcome> request(const std::string& host, const std::string& method,
                                            const std::string& path, std::uint32_t key);
    /// Sends a request and runs the fleet until the outcome is set, for at most 5 s.
    caller_outcome request_and_wait(const std::string& host, const std::string& path,
                                    std::uint32_t key = 0);
    /// Number of requests that ran more than once.
    [[nodiscard]] std::size_t repeated_runs() const;

    gateway::milliseconds caller_deadline{3000};
    boost::asio::io_context context;
    store_standin store;
    target_history history;
    std::map<std::string, std::unique_ptr<target_standin>> targets;

private:
    struct router {
        pid_t process = -1;
        std::string address;
        std::string log_path;
    };

    [[nodiscard]] std::string address_of(unsigned host_number) const;
    void write_settings(const std::string& host, const router& entry) const;

    std::string folder_;
    std::string network_;  ///< First three octets of the loopback addresses of this fleet.
    unsigned next_host_number_ = 1;
    std::uint64_t next_request_ = 1;
    std::map<std::string, router> routers_;
    gateway::call_client callers_;
    target_group group_;
};

}  // namespace mimosavalve::platform::testing
