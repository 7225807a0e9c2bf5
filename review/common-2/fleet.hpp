#pragma once

#include <sys/types.h>

#include <array>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "mimosavalve/gateway/call_client.hpp"
#include "mimosavalve/gateway/clock.hpp"

// A small deployment for the cases of the review: the project's routers as separate processes, and
// stand-ins for the platform's store, the workers and the clients in this process.
namespace mimosavalve::review {

using gateway::boot_time;
using gateway::milliseconds;

inline constexpr std::uint32_t key_count = 65536;

/// Writes what was sent, answered and run, one line each, with the time since the start in ms.
class event_record {
public:
    explicit event_record(const std::string& path);
    void write(const std::string& line);
    [[nodiscard]] std::int64_t age_ms() const;

private:
    std::ofstream out_;
    boot_time began_;
};

struct worker_options {
    std::string id;
    std::string service;
    std::string zone = "north-a";
    bool keyed = false;
    std::uint32_t slots = 4;
    milliseconds work_time{40};
};

/// A run of a request at a worker.
struct worker_run {
    std::string worker;
    std::string path;
    std::int64_t at_ms = 0;
};

/// Stand-in for a worker: holds keys by grants, runs requests in its slots, reports to the store.
class worker {
public:
    worker(boost::asio::io_context& context, event_record& record, worker_options options,
           const gateway::tcp::endpoint& address);
    ~worker();
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    void start();
    /// Starts again as another instance with this id.
    void start_as(const std::string& id);
    /// Ends the process: its connections close, and what it held and ran is gone.
    void crash();
    [[nodiscard]] bool is_up() const;
    [[nodiscard]] const worker_options& options() const { return options_; }
    /// The next entry that it writes to the store.
    [[nodiscard]] std::string next_entry();
    [[nodiscard]] bool holds(std::uint32_t key) const;
    [[nodiscard]] std::string hold_text(std::uint32_t key) const;

    bool reaches_store = true;
    bool says_it_leaves = false;  ///< In its answers.
    std::string crash_path;  ///< A request with this path ends the worker when it begins to run.
    std::vector<worker_run> runs;
    std::function<void(worker&, const std::string& path)> on_crash;

private:
    struct implementation;

    worker_options options_;
    std::unique_ptr<implementation> implementation_;
};

/// What a client got for one request.
struct client_outcome {
    bool done = false;
    unsigned status = 0;  ///< 0: no complete answer.
    bool says_worker_leaves = false;
    std::string signature;
    boot_time may_return_at;  ///< By the answer's Retry-After.
};

struct route_text {
    std::string name;  ///< Also its prefix.
    std::string kind;
    std::string service;
    std::uint32_t timeout_ms = 1500;
};

struct service_text {
    std::string name;
    bool sharded = false;
};

struct router_options {
    std::string zone = "north-a";
    double cpu_share = 0.2;
};

/// The deployment. It makes progress only during `run_for` and `run_until`.
class fleet {
public:
    explicit fleet(const std::string& record_path);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    worker& add_worker(const worker_options& options);
    /// Whether a missing entry has to stay away, as of a worker that leaves without a word.
    void remove_entry(const std::string& id);
    void put_config(unsigned version, const std::vector<route_text>& routes,
                    const std::vector<service_text>& services);
    void start_router(const std::string& host, const router_options& options = {});
    void signal_router(const std::string& host, int signal);
    /// Stops a router as the platform does, with SIGKILL after the grace period.
    void stop_router(const std::string& host);
    /// Kills a router whose machine never comes back.
    void remove_router(const std::string& host);
    [[nodiscard]] bool is_running(const std::string& host) const;
    [[nodiscard]] std::string leader() const;
    [[nodiscard]] std::string log_of(const std::string& host) const;
    [[nodiscard]] std::vector<std::string> hosts() const;
    /// While the store is down, it refuses every call. The entries of workers run out meanwhile
    /// unless it pauses them.
    void set_store_down(bool down, bool entries_run_out = true);

    std::shared_ptr<client_outcome> request(const std::string& host, const std::string& method,
                                            const std::string& path, std::uint32_t key,
                                            bool has_key = true);
    /// Restarts a worker that has crashed after a pause, with a new id.
    void restart_later(worker& crashed, milliseconds pause);
    void run_for(milliseconds time);
    bool run_until(const std::function<bool()>& done, milliseconds timeout);
    /// Runs `step` every `period` while the deployment runs.
    void every(milliseconds period, const std::function<void()>& step);
    /// Waits until all routers are ready and serve a request for each route.
    bool run_until_serving(const std::vector<std::string>& paths, milliseconds timeout);

    boost::asio::io_context context;
    event_record record;
    std::map<std::string, std::unique_ptr<worker>> workers;

private:
    struct platform_state;
    struct router {
        pid_t process = -1;
        router_options options;
        std::string address;
        boot_time kill_at;
        boot_time start_at;
    };

    [[nodiscard]] std::string next_address();
    void write_settings(const std::string& host, const router& entry) const;
    void spawn(const std::string& host, router& entry);
    void watch_routers();
    void beat();

    std::string folder_;
    std::string network_;
    unsigned next_host_ = 1;
    unsigned next_instance_ = 2;
    std::uint64_t next_request_ = 1;
    bool store_down_ = false;
    bool entries_run_out_ = true;
    std::map<std::string, boot_time> beats_;  ///< Last entry of each worker in the store.
    std::set<std::string> removed_;
    std::map<std::string, router> routers_;
    gateway::call_client clients_;
    std::unique_ptr<platform_state> platform_;  ///< Destroyed before what its timers use.
};

/// Ends the case: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
enum class verdict { held = 0, broken = 1, not_run = 2 };

/// Whether the disruption takes place.
bool has_trouble();

}  // namespace mimosavalve::review
