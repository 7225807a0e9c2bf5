#pragma once

#include <sys/types.h>

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <fstream>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "wire.hpp"

namespace mimosavalve::platform::testing {
class store_standin;
}

namespace review {

/// Writes `record.txt`: what was sent, answered and run, with the time since the start in ms.
class recorder {
public:
    explicit recorder(const std::string& path) : out_(path) {}
    void line(const std::string& text);

private:
    std::mutex guard_;
    std::ofstream out_;
    clock::time_point began_ = clock::now();
};

/// Stand-in of a worker. `serve` handles one request and returns whether its connection stays open;
/// it runs on the thread of the connection.
class worker {
public:
    struct options {
        std::string id;
        std::string service;
        std::string zone;
        unsigned slots = 4;
    };
    using handler = std::function<bool(worker&, const message&, connection&)>;

    worker(options chosen, std::string address, handler serve);
    ~worker();
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    [[nodiscard]] const options& settings() const { return options_; }
    /// The next entry for the platform's store.
    [[nodiscard]] std::string next_entry();
    /// Head of an answer with the fields that each answer has, without the empty line at its end.
    [[nodiscard]] std::string answer_head(unsigned status, const message& request) const;
    /// Sends a success with a body.
    bool answer(connection& to, const message& request, const std::string& body) const;
    /// Sends a 503 which says that the request has not run.
    bool refuse(connection& to, const message& request) const;
    /// Works for this time; false if the worker crashes meanwhile.
    [[nodiscard]] bool work_for(std::chrono::milliseconds time) const;
    /// Resets all connections, and refuses new ones. It stays so.
    void crash();
    [[nodiscard]] bool has_crashed() const { return has_crashed_; }
    /// Cuts the worker off from the store, or heals that. Requests still reach it.
    void set_cut_off(bool on) { is_cut_off_ = on; }
    [[nodiscard]] bool is_cut_off() const { return is_cut_off_; }
    /// The worker is cold until then.
    void be_cold_until(clock::time_point until) { cold_until_ = until; }
    [[nodiscard]] std::int64_t cold_ms() const;
    /// Only the heads of requests are read before `serve` runs.
    std::atomic<bool> reads_heads_only{false};

private:
    void accept();

    options options_;
    std::string address_;
    handler serve_;
    std::int64_t born_;
    std::uint64_t sequence_ = 0;
    std::atomic<clock::time_point> cold_until_{clock::time_point{}};
    std::atomic<bool> is_ending_{false};
    std::atomic<bool> has_crashed_{false};
    std::atomic<bool> is_cut_off_{false};
    int listener_;
    std::mutex guard_;
    std::vector<int> open_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

struct route {
    std::string name;
    std::string kind;
    std::string service;
    unsigned attempts = 1;
    int timeout_ms = 3000;
    int objective_ms = 800;
};

/// Routers as separate processes, started with the command of the deploy file, and stand-ins of the
/// platform's store and of workers in this process.
class fleet {
public:
    explicit fleet(recorder& record);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /// Starts the 11 routers of the site kvmrs-gate in its four zones, named "front-ZONE-NUMBER".
    /// Returns whether all of them are ready within 15 s.
    bool start_routers();
    void start_router(const std::string& node, const std::string& zone);
    /// Names of the routers that were started.
    [[nodiscard]] std::vector<std::string> nodes() const;
    [[nodiscard]] const std::string& address_of(const std::string& node) const;
    void signal_router(const std::string& node, int signal);
    /// Whether the process has ended by itself; also `false` for one that this class killed.
    [[nodiscard]] bool has_ended(const std::string& node);
    worker& add_worker(worker::options chosen, worker::handler serve);
    /// Writes the worker's entry now; a heartbeat does so every 870 ms. The entry of a worker that
    /// has crashed or is cut off from the store is removed after three intervals of silence.
    void write_entry(worker& of);
    void put_config(unsigned version, const std::vector<route>& routes,
                    const std::vector<std::string>& services, double cold_per_s);
    /// Waits until a router says that it is ready, for at most 15 s.
    bool wait_ready(const std::string& node);
    /// Node of the leader that the routers have recorded in the store.
    [[nodiscard]] std::string leader();
    /// Runs a step on the thread of the store, and waits for it.
    void with_store(
        const std::function<void(mimosavalve::platform::testing::store_standin&)>& step);
    [[nodiscard]] std::string log_of(const std::string& node) const;

    static constexpr std::uint16_t front_port = 8548;

private:
    struct router {
        pid_t process = -1;
        std::string address;
        std::string zone;
    };
    std::string next_address();
    void write_settings(const std::string& node, const router& entry) const;
    void beat();

    recorder& record_;
    std::string network_;
    std::string folder_;
    unsigned next_host_ = 1;
    std::map<std::string, router> routers_;
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::unique_ptr<mimosavalve::platform::testing::store_standin> store_;
    std::mutex guard_;
    std::vector<std::unique_ptr<worker>> workers_;
    std::map<std::string, int> missed_beats_;  ///< In a row, by worker.
    std::atomic<bool> is_ending_{false};
    std::thread store_thread_;
    std::thread heart_;
};

/// Head of a client's request, with its empty line.
std::string request_head(std::string_view method, std::string_view path, std::string_view id,
                         int deadline_ms, const std::vector<field>& more = {});

/// Path of the record of the case, from the variable RECORD.
std::string record_path();

/// Whether the case is to cause its disruption.
bool has_trouble();

/// Exit codes of a case.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

}  // namespace review
