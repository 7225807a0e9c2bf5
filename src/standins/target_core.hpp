#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <unordered_map>

#include "mimosavalve/standins/target_faults.hpp"
#include "mimosavalve/standins/target_history.hpp"
#include "mimosavalve/standins/target_rules.hpp"
#include "mimosavalve/standins/target_settings.hpp"
#include "mimosavalve/standins/target_work.hpp"

namespace mimosavalve::standins {

/// What is known of a body after it has passed through the hash.
struct body_digest {
    std::uint64_t xxh64 = 0;
    std::uint64_t size = 0;
    std::string value;  ///< The body itself when it is small enough to be kept.
    bool kept = true;
};

/// A request while it waits for a slot or runs. `gone` is set when its caller closed the
/// connection; `timer` wakes the request up then.
struct running_request {
    const request_info* info = nullptr;
    boost::asio::steady_timer* timer = nullptr;
    bool gone = false;
    bool has_slot = false;
    std::chrono::steady_clock::time_point started{};
};

/// How the work on a request ended.
enum class work_end {
    completed,
    caller_gone,
    /// The target was paused for so long that another owner may have started: no effect remains.
    hold_ended,
};

/// State of a target that all its connections share. Used by one thread only.
class target_core {
public:
    target_core(boost::asio::io_context& context, const target_settings& settings);

    std::error_code open_history() { return history_.open(settings_, instance_); }

    [[nodiscard]] const target_settings& settings() const { return settings_; }
    [[nodiscard]] std::uint64_t instance() const { return instance_; }
    [[nodiscard]] std::uint64_t clock_ms() const;
    [[nodiscard]] bool leaving() const { return leaving_; }
    [[nodiscard]] bool is_idle() const { return active_.empty() && waiting_.empty(); }
    [[nodiscard]] bool holds_slots() const { return fences_.holds_any(); }
    target_faults& faults() { return faults_; }
    work_model& work() { return work_; }
    void start_leaving() { leaving_ = true; }

    /// Answer body of a probe.
    std::string probe_text();

    /// Status of the answer to an order: 200, 409 or 410. A revocation waits for the running
    /// requests that it concerns.
    unsigned grant(const target_order& order);
    unsigned revoke(const target_order& order, const boost::asio::yield_context& yield);

    /// Whether a request that arrives now can be refused before its body is read.
    [[nodiscard]] start_refusal refuse_early(const request_info& info) const;

    /// Waits for a slot and starts the request. When the result is `none` and the caller is not
    /// gone, the request has started, and `finish` must follow.
    start_refusal start(running_request& request, const boost::asio::yield_context& yield);
    /// Occupies the slot for the service time, or until the caller goes away.
    work_end work(running_request& request, const boost::asio::yield_context& yield);
    void finish(running_request& request, work_end end);

    void store(const std::string& path, const body_digest& body);
    [[nodiscard]] std::string value_of(const std::string& path) const;

    /// Id that an answer echoes; that of another request while the fault is on.
    std::string echoed_id(const std::string& request_id);

    /// Notes that the process was alive; longer gaps are recorded as pauses.
    void note_alive();

private:
    [[nodiscard]] start_refusal refuse_start(const request_info& info,
                                             std::chrono::steady_clock::time_point now) const;
    [[nodiscard]] std::chrono::nanoseconds clock_at(
        std::chrono::steady_clock::time_point now) const;
    bool wait_for_slot(running_request& request, const boost::asio::yield_context& yield);
    void release_slot(running_request& request);
    void give_free_slots();
    void note_load();
    [[nodiscard]] unsigned check_order(const target_order& order) const;
    [[nodiscard]] bool runs_below(const target_order& order) const;

    struct load_note {
        std::chrono::steady_clock::time_point at;
        std::uint32_t load = 0;
    };

    boost::asio::io_context& context_;
    target_settings settings_;
    std::uint64_t instance_;
    std::chrono::milliseconds clock_offset_;
    target_faults faults_;
    work_model work_;
    fence_table fences_;
    target_history history_;
    std::list<running_request*> waiting_;
    std::list<running_request*> active_;
    std::list<boost::asio::steady_timer*> revocations_;
    std::uint32_t used_slots_ = 0;
    std::deque<load_note> loads_;
    std::unordered_map<std::string, std::string> values_;
    std::string previous_id_ = "none";
    std::chrono::steady_clock::time_point last_alive_;
    std::chrono::steady_clock::time_point pause_from_;  ///< The last pause longer than a hold.
    std::chrono::steady_clock::time_point pause_until_;
    bool leaving_ = false;
};

}  // namespace mimosavalve::standins
