#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/internal_server.hpp"
#include "gateway/lifetime.hpp"

namespace mimosavalve::platform::testing {

/// Events at the targets of a fleet, by which tests check the guarantees.
struct target_history {
    std::map<std::string, std::uint32_t> runs_by_request;  ///< Number of runs by request id.
    std::vector<std::string> violations;  ///< Keys with two holders, and fences that do not rise.
};

class target_standin;

/// All targets of a fleet, so that a target can check whether another one holds the same key.
using target_group = std::vector<target_standin*>;

/// Stands in for one target: holds keys by grants with fences and runs each request for a fixed
/// time.
class target_standin {
public:
    struct target_options {
        std::string id;
        std::string service;
        std::string failure_domain;
        gateway::tcp::endpoint address;
        bool keyed = false;
        gateway::milliseconds work_time{20};  ///< Duration of a request.
    };

    target_standin(boost::asio::io_context& context, target_options options, target_group& group,
                   target_history& history);
    ~target_standin();
    target_standin(const target_standin&) = delete;
    target_standin& operator=(const target_standin&) = delete;

    [[nodiscard]] const target_options& options() const { return options_; }
    /// The next entry that the target writes to the store.
    [[nodiscard]] std::string next_store_entry();
    /// Whether a grant of the key is in force.
    [[nodiscard]] bool holds(std::uint32_t key) const;
    [[nodiscard]] std::uint32_t run_count() const { return run_count_; }

    bool leaving = false;
    bool says_it_leaves = false;  ///< In its answers; `leaving` is for the store.
    std::string request_limit;    ///< Limit that its answers name; empty: none.
    std::string refusal_pause;    ///< Pause that its refusals ask for, in s; empty: runs requests.
    std::uint32_t refusal_count = 0;
    std::string handover;   ///< In its answers to releases; empty: a text with its id.
    bool silent = false;    ///< Answers nothing, like a host without power.
    std::string slow_path;  ///< Path of requests that run for `slow_work_time`; empty: none.
    gateway::milliseconds slow_work_time{10000};
    std::string crash_path;  ///< Path of requests that end the target; empty: none.
    bool crashed = false;
    /// When not zero, grants are not answered and take effect after this time.
    gateway::milliseconds grant_delay{0};

private:
    struct granted_range {
        std::uint32_t first = 0;
        std::uint32_t last = 0;
        std::uint64_t fence = 0;
        gateway::boot_time end;
    };

    void serve(const gateway::message_head& head, const std::string& body,
               const gateway::internal_server::respond& respond);
    unsigned grant(const std::string& body, gateway::boot_time arrived);
    void release(const std::string& body);
    void run_request(const gateway::message_head& head,
                     const gateway::internal_server::respond& respond);
    void check_other_holders(const granted_range& added);
    [[nodiscard]] gateway::internal_answer with_identity(gateway::internal_answer answer,
                                                         const gateway::message_head& head) const;

    boost::asio::io_context& context_;
    target_options options_;
    target_group& group_;
    target_history& history_;
    std::uint64_t started_unix_ms_;
    std::uint64_t sequence_ = 0;
    std::uint32_t running_ = 0;
    std::uint32_t run_count_ = 0;
    std::vector<granted_range> granted_ranges_;
    gateway::lifetime lifetime_;
    std::unique_ptr<gateway::internal_server> server_;
};

}  // namespace mimosavalve::platform::testing
