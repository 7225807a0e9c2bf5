#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/lifetime.hpp"
#include "gateway/small_server.hpp"

namespace mimosavalve::platform::testing {

/// What targets have seen, for the checks of the guarantees. One for a whole fleet.
struct target_history {
    std::map<std::string, std::uint32_t> runs;  ///< By request id.
    std::vector<std::string> violations;        ///< Keys with two holders, fences that do not rise.
};

class target_standin;

/// All targets of a fleet, so that one can tell who else holds a key.
using target_group = std::vector<target_standin*>;

/// Stands in for one target: holds keys by fenced grants, runs requests for a fixed time.
class target_standin {
public:
    struct description {
        std::string id;
        std::string service;
        std::string failure_domain;
        gateway::tcp::endpoint address;
        bool keyed = false;
        gateway::milliseconds work{20};
    };

    target_standin(boost::asio::io_context& context, description what, target_group& group,
                   target_history& history);
    ~target_standin();
    target_standin(const target_standin&) = delete;
    target_standin& operator=(const target_standin&) = delete;

    [[nodiscard]] const description& what() const { return what_; }
    /// The entry that the target writes to the store.
    [[nodiscard]] std::string entry() const;
    [[nodiscard]] bool holds(std::uint32_t key) const;
    [[nodiscard]] std::uint32_t runs() const { return runs_; }

    bool leaving = false;
    bool silent = false;     ///< Answers nothing, as a host without power.
    std::string crash_path;  ///< A request with this path ends the target; empty: none does.
    bool crashed = false;
    gateway::milliseconds grant_delay{
        0};  ///< Grants get no answer and take effect this much later.

private:
    struct hold {
        std::uint32_t first = 0;
        std::uint32_t last = 0;
        std::uint64_t fence = 0;
        gateway::boot_time end;
    };

    void serve(const gateway::message_head& head, const std::string& body,
               const gateway::small_server::respond& respond);
    unsigned grant(const std::string& body, gateway::boot_time arrived);
    void release(const std::string& body);
    void run(const gateway::message_head& head, const gateway::small_server::respond& respond);
    void check_holders(const hold& added);
    [[nodiscard]] gateway::small_answer with_identity(gateway::small_answer answer,
                                                      const gateway::message_head& head) const;

    boost::asio::io_context& context_;
    description what_;
    target_group& group_;
    target_history& history_;
    std::uint64_t started_unix_ms_;
    std::uint64_t sequence_ = 0;
    std::uint32_t running_ = 0;
    std::uint32_t runs_ = 0;
    std::vector<hold> holds_;
    gateway::lifetime life_;
    std::unique_ptr<gateway::small_server> server_;
};

}  // namespace mimosavalve::platform::testing
