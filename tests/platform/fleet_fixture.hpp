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

/// What became of one request of a caller.
struct caller_outcome {
    unsigned status = 0;  ///< 0: no whole answer.
    std::string body;
};

/// A fleet of real router processes on loopback addresses, with stand-ins for the platform's store
/// and for targets in this process. Everything here runs while `run_for` or `run_until` does.
class fleet_fixture {
public:
    fleet_fixture();
    ~fleet_fixture();
    fleet_fixture(const fleet_fixture&) = delete;
    fleet_fixture& operator=(const fleet_fixture&) = delete;

    /// Two keyed targets "k1" and "k2" of the service "status", and "o1" and "o2" of "orders".
    void add_usual_targets();
    target_standin& add_target(const std::string& id, const std::string& service, bool keyed);
    void remove_target(const std::string& id);
    /// Another target starts at the address of one that ended, and the store does not know yet.
    target_standin& replace_silently(const std::string& id, const std::string& new_id);
    void write_entry(const target_standin& target);
    /// Routes "/status/" (idempotent, keyed) and "/orders/" (at most once).
    void put_config(unsigned version, const std::string& orders_service = "orders");

    void start_router(const std::string& host);
    /// Sends a signal to the process of a router; `SIGKILL` and `SIGTERM` also forget it.
    void signal_router(const std::string& host, int signal);
    [[nodiscard]] bool has_ended(const std::string& host);
    [[nodiscard]] std::string log_of(const std::string& host) const;
    /// The host that leads by the record in the store; empty: nobody.
    [[nodiscard]] std::string leader() const;

    void run_for(gateway::milliseconds time);
    /// Runs until `done` holds; false when it does not within `longest`.
    bool run_until(const std::function<bool()>& done,
                   gateway::milliseconds longest = std::chrono::seconds(20));
    /// Runs until each router is ready and serves a keyed request.
    bool run_until_serving();

    /// Sends one request; its outcome is known once the fleet has run for a while.
    std::shared_ptr<caller_outcome> request(const std::string& host, const std::string& method,
                                            const std::string& path, std::uint32_t key);
    /// Sends one and waits for its outcome.
    caller_outcome ask(const std::string& host, const std::string& path, std::uint32_t key = 0);
    /// Requests that ran more than once.
    [[nodiscard]] std::size_t repeated_runs() const;

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
    void write_settings(const std::string& host, const router& placed) const;

    std::string folder_;
    std::string network_;  ///< First three numbers of the loopback addresses of this fleet.
    unsigned next_address_ = 1;
    std::uint64_t next_request_ = 1;
    std::map<std::string, router> routers_;
    gateway::call_client callers_;
    target_group group_;
};

}  // namespace mimosavalve::platform::testing
