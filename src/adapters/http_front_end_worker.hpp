#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "http_front_end_body.hpp"
#include "http_front_end_gate.hpp"
#include "mimosavalve/adapters/http_front_end.hpp"
#include "mimosavalve/adapters/target_pool.hpp"
#include "mimosavalve/observe/metrics.hpp"
#include "mimosavalve/traffic/account_limit.hpp"
#include "mimosavalve/traffic/in_flight.hpp"
#include "mimosavalve/traffic/quarantine.hpp"
#include "mimosavalve/traffic/retry_budget.hpp"
#include "mimosavalve/traffic/routing_table.hpp"

namespace mimosavalve::adapters::front_end {

/// What the sweep needs of a running request. The sweep ends pending operations on its sockets and
/// its timer when the deadline passes or the caller is gone.
struct exchange_watch {
    steady_time started;
    steady_time deadline;
    tcp::socket* caller = nullptr;
    tcp::socket* target = nullptr;  ///< Null while no connection is used.
    boost::asio::steady_timer* timer = nullptr;
    steady_time sent;                         ///< When the whole request was sent.
    pooled_target* awaited = nullptr;         ///< Not null while no byte of the answer came.
    target_connection* connection = nullptr;  ///< Set with `awaited`.
    config::traffic_class priority = config::traffic_class::status;
    std::uint64_t number = 0;  ///< Tells this request from a later one here.
    bool probed = false;
    bool expired = false;
    bool caller_gone = false;
    std::size_t position = 0;

    [[nodiscard]] bool stopped() const { return expired || caller_gone; }
};

/// What the sweep needs of a caller's connection.
struct connection_watch {
    tcp::socket* socket = nullptr;
    steady_time limit;  ///< Pending operations end then; never while a request runs.
    bool between_requests = false;
    bool timed_out = false;
    std::size_t position = 0;
};

/// Lets late answers to claims find the threads gone.
struct claim_gate {
    std::mutex mutex;
    bool open = true;  ///< Guarded by `mutex`.
};

/// State that all threads share.
struct shared_state {
    front_end_settings settings;
    front_end_hooks hooks;
    std::atomic<std::shared_ptr<const traffic::routing_table>> table;
    std::atomic<std::uint64_t> table_number{0};  ///< Raised with each table, cheap to compare.
    std::shared_ptr<claim_gate> claims = std::make_shared<claim_gate>();
    std::atomic<bool> stopping{false};
    std::atomic<std::size_t> connections{0};
    std::atomic<std::size_t> largest_buffered{0};
    observe::account_labels labels;
    std::atomic<std::size_t> held_back{0};  ///< Entries of `quarantine.quarantined`.

    traffic::account_limit& limit_of(const std::string& account);
    bool is_held_back(std::uint64_t fingerprint, steady_time now);
    void record_loss(const std::string& target, std::uint64_t fingerprint);
    void confirm_loss(const std::string& target);
    /// Reports fingerprints that are newly held back.
    void find_crashing(steady_time now);

private:
    std::mutex mutex_;  ///< Guards what follows.
    std::unordered_map<std::string, std::unique_ptr<traffic::account_limit>> limits_;
    traffic::quarantine quarantine_;
};

/// One traffic thread. All members but the marked ones belong to that thread.
class worker {
public:
    explicit worker(shared_state& shared);

    void run_thread();
    /// Any thread: the loop ends when the last connection has ended.
    void release();
    void join();

    /// Any thread.
    boost::asio::io_context& context() { return context_; }
    void post_refresh();
    void post_stop();
    void post_cut();
    [[nodiscard]] version drained_version(const shard_id& shard) const;

    /// Serves a caller's connection in a coroutine of its own.
    void serve(tcp::socket socket);

    /// Newest table; adopts it first when it changed. Null before the first.
    const std::shared_ptr<const traffic::routing_table>& table();

    void add(exchange_watch& watch);
    void remove(exchange_watch& watch);
    void add(connection_watch& watch);
    void remove(connection_watch& watch);

    /// Registers a sent request, respectively its end.
    void sent(traffic::in_flight_request& request);
    void ended(traffic::in_flight_request& request);

    /// Lets a request wait for a newer table, a lease or its deadline. False when too many wait.
    bool hold(exchange_watch& watch, const boost::asio::yield_context& yield);
    /// Waits on the request's timer.
    static void pause(exchange_watch& watch, steady_time until,
                      const boost::asio::yield_context& yield);

    void append_request_id(std::string& out);

private:
    boost::asio::io_context context_{1};

public:
    shared_state& shared;
    target_pool pool;
    piece_store pieces;
    traffic::retry_budget retries;
    gate_set gates;
    observe::request_metrics metrics;
    std::mt19937_64 random;

    /// From 0 to 1.
    double chance() { return std::generate_canonical<double, 32>(random); }

private:
    void arm_sweep(bool soon);
    void sweep();
    void check_exchanges(steady_time now);
    void check_connections(steady_time now);
    void wake_held();
    void grant_waiting(steady_time now);
    void probe_silent(exchange_watch& watch, steady_time now);
    void suspect(std::uint64_t number);
    void update_silent_limits();
    void report_evidence();
    void adopt_table();
    void publish_drained();

    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    boost::asio::steady_timer sweep_timer_;
    std::thread thread_;
    std::vector<exchange_watch*> exchanges_;
    std::vector<connection_watch*> connections_;
    std::vector<exchange_watch*> held_;
    traffic::in_flight_set in_flight_;
    std::shared_ptr<const traffic::routing_table> table_;
    std::uint64_t table_number_ = 0;
    std::uint64_t sweeps_ = 0;
    std::uint64_t exchange_number_ = 0;
    std::uint32_t probes_running_ = 0;
    std::array<std::chrono::microseconds, 3> silent_limits_{};
    bool sweeping_soon_ = false;
    bool released_ = false;
    bool cut_ = false;
    mutable std::mutex drained_mutex_;           ///< Guards `drained_`.
    std::vector<traffic::shard_drain> drained_;  ///< Copy for the control thread.
};

}  // namespace mimosavalve::adapters::front_end
