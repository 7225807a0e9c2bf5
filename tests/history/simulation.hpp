#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "control.pb.h"
#include "mimosavalve/control/control_plane.hpp"
#include "mimosavalve/core/error.hpp"

namespace mimosavalve::test {

using std::chrono::milliseconds;

/// Queue of events in order of true time.
class scheduler {
public:
    [[nodiscard]] steady_time now() const { return now_; }
    void at(steady_time when, std::function<void()> action);
    void after(steady_time::duration delay, std::function<void()> action);
    void run_until(steady_time end);

private:
    steady_time now_{std::chrono::hours(1)};
    std::uint64_t next_ = 0;
    std::map<std::pair<steady_time, std::uint64_t>, std::function<void()>> events_;
};

struct sim_host {
    std::size_t index = 0;
    control::control_settings settings;
    std::unique_ptr<control::control_plane> plane;
    double clock_rate = 1;
    bool alive = false;
    bool paused = false;
    bool isolated = false;       ///< Whether it is cut off from peers and targets.
    bool peers_cut = false;      ///< Whether it is cut off from peers only.
    bool store_cut = false;      ///< Whether it is cut off from the store only.
    std::uint64_t instance = 0;  ///< Number of the current instance, from 1.
    /// Inputs that arrived during the current pause.
    std::vector<std::function<void()>> held_back;
    std::shared_ptr<const router::routing_snapshot> snapshot;
    std::map<std::string, control::target_evidence> evidence;
    std::map<shard_id, version> newest_held;
    std::map<shard_id, version> newest_activated;
    std::uint64_t newest_config_version = 0;
};

struct sim_request {
    std::string service;
    ownership::slot_number slot = 0;
    version fence;
    steady_time start_by;  ///< In true time, by which the clocks of targets run.
    std::size_t router = 0;
    std::uint64_t router_instance = 0;
};

struct sim_target {
    std::string id;
    std::string address;
    std::string failure_domain;
    bool checks_fence = true;
    bool alive = true;
    bool frozen = false;
    bool leaving = false;
    std::uint64_t instance = 1;
    std::map<ownership::slot_number, version> granted;
    std::map<ownership::slot_number, version> revoked_below;
    std::vector<std::function<void()>> held_back;
};

struct sim_store_entry {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
};

struct sim_watch {
    std::string key;
    std::uint64_t known_revision = 0;
    std::function<void()> answer;
};

/// Parameters of a history.
struct sim_options {
    std::uint64_t seed = 1;
    std::size_t hosts_per_domain = 3;
    std::size_t targets = 6;
    std::uint32_t slots = 12;
    /// Number of targets of the service whose targets check fences; the others do not.
    std::size_t fence_checking_targets = 6;
    std::optional<std::size_t> fast_host;  ///< Host whose clock runs 1% fast.
};

/// The start of a request at a target.
struct request_start {
    steady_time at;
    std::string target;
    version fence;
};

/// Several control planes on a simulated network, store, host list and set of targets, driven by
/// one manual clock. Checks the guarantees of the control protocol during the run and collects
/// violations as text.
class simulation {
public:
    explicit simulation(const sim_options& options);

    void run_for(steady_time::duration length);
    [[nodiscard]] steady_time now() const { return clock_.now(); }
    void run_after(steady_time::duration delay, std::function<void()> action);

    // Faults that a test can inject.
    void kill_host(std::size_t index);
    void start_host(std::size_t index);
    void pause_host(std::size_t index);
    void resume_host(std::size_t index);
    void kill_target(std::size_t index);
    void start_target(std::size_t index);
    void freeze_target(std::size_t index);
    void unfreeze_target(std::size_t index);
    void change_config(const std::function<void(config::fleet_config&)>& change);

    /// Returns the host that leads the first shard according to the state in the store.
    [[nodiscard]] std::optional<std::size_t> leader() const;
    [[nodiscard]] std::optional<ownership::shard_state> stored_state() const;

    /// Starts the measurement of pauses in service anew.
    void start_measuring();

    /// Returns the longest time since `start_measuring` in which no target started a request for
    /// some slot, with the name of that slot.
    [[nodiscard]] std::pair<milliseconds, std::string> max_pause() const;

    /// Returns the slots for which no target has started a request at or after `since`.
    [[nodiscard]] std::vector<std::string> unserved_since(steady_time since) const;

    std::vector<sim_host> hosts;
    std::vector<sim_target> targets;
    std::vector<std::string> violations;
    std::map<std::string, std::vector<control::event>> events;  ///< Recorded events by kind.
    double message_loss = 0;            ///< Probability that a message between peers is lost.
    milliseconds max_extra_delay{0};    ///< Maximum random delay added to each delivery.
    std::set<std::string> cut_domains;  ///< Failure domains that are cut off from all others.
    bool store_up = true;
    double store_answer_loss = 0;  ///< Probability that the answer to a store operation is lost.
    bool traffic_enabled = true;   ///< Whether hosts send requests to targets.
    std::uint64_t messages = 0;    ///< Number of messages sent to peers, including lost ones.

private:
    void tick(std::size_t index, std::uint64_t instance);
    void deliver(std::size_t index, std::uint64_t instance, std::function<void()> input);
    [[nodiscard]] steady_time local_time(const sim_host& host) const;
    [[nodiscard]] steady_time true_time(const sim_host& host, steady_time local) const;
    [[nodiscard]] bool chance(double probability);
    [[nodiscard]] milliseconds random_delay();
    [[nodiscard]] bool connected(const std::string& left, const std::string& right) const;
    control::control_ports ports_for(sim_host& host);
    ports::store store_for(sim_host& host);
    ports::target_control targets_for(sim_host& host);
    void send(std::size_t from, const std::string& address, const wire::Envelope& message);

    /// Runs `effect` at the store after a delay, then the callback that `effect` returns, at the
    /// host. When no answer arrives by the deadline, runs `failed` at the deadline instead.
    void store_operation(sim_host& host, steady_time deadline,
                         const std::function<std::function<void()>()>& effect,
                         const std::function<void()>& failed);
    std::error_code write_entry(const std::string& key, std::uint64_t expected, std::string value,
                                std::uint64_t lease, std::uint64_t& revision);
    void expire_leases();
    void wake_watches(const std::string& key);
    void check_stored(const std::string& key, const std::string& before, const std::string& after);
    void check_published(sim_host& host);
    [[nodiscard]] std::vector<std::string> slot_names() const;

    void target_operation(sim_host& host, const std::string& address, steady_time deadline,
                          const std::function<std::function<void()>(sim_target&)>& effect,
                          const std::function<void(std::error_code)>& failed);
    void send_requests(sim_host& host);
    void send_request(sim_host& host, const ownership::shard_state& state,
                      const ownership::assignment& assignment, ownership::slot_number slot,
                      steady_time lease_end);
    void check_grant(const sim_target& target, const std::string& service,
                     ownership::slot_number slot, const version& fence);
    void receive_request(sim_target& target, const sim_request& request);
    void start_request(sim_target& target, const sim_request& request);
    void record_answer(const sim_request& request, const std::string& target, bool success,
                       steady_time sent);
    std::vector<ports::listed_host> host_list() const;

    sim_options options_;
    scheduler clock_;
    std::mt19937_64 random_;
    steady_time started_;
    std::map<std::string, sim_store_entry> store_;
    std::map<std::uint64_t, steady_time> leases_;
    std::vector<sim_watch> watches_;
    std::uint64_t next_revision_ = 1;
    std::uint64_t next_lease_ = 1;
    config::fleet_config config_;
    std::map<std::uint64_t, config::fleet_config> configs_;
    std::map<std::string, request_start> last_starts_;  ///< Newest start for each service and slot.
    steady_time measured_since_;
    /// Longest pause for each service and slot.
    std::map<std::string, steady_time::duration> max_pauses_;
};

}  // namespace mimosavalve::test
