#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "mimosavalve/gateway/crash_watch.hpp"
#include "mimosavalve/gateway/gateway_metrics.hpp"
#include "mimosavalve/gateway/gateway_settings.hpp"
#include "mimosavalve/gateway/key_load.hpp"
#include "mimosavalve/gateway/platform_port.hpp"
#include "mimosavalve/gateway/repeat_budget.hpp"
#include "mimosavalve/gateway/target_link.hpp"
#include "mimosavalve/gateway/target_table.hpp"
#include "mimosavalve/observe/decision_log.hpp"

namespace mimosavalve::gateway {

class exchange;

/// What the parts of one router process share. Everything runs on one thread.
struct router_core {
    router_core(boost::asio::io_context& io_context, gateway_settings initial,
                observe::decision_log& decisions)
        : context(io_context), settings(std::move(initial)), log(decisions) {}

    boost::asio::io_context& context;
    std::function<boot_time()> now = boot_clock::now;  ///< Replaced in tests.
    gateway_settings settings;
    observe::decision_log& log;
    platform_port platform;
    routing_state state;
    gateway_metrics metrics;
    std::map<std::string, repeat_budget> repeats;  ///< By service.
    std::map<std::string, key_load> key_loads;     ///< By keyed service; since the last report.
    std::map<std::string, std::uint32_t> demand;   ///< Requests by service; since the last report.
    crash_report crashes;                          ///< Since the last report.
    crash_findings known_crashes;                  ///< As told by the leader.
    std::map<std::string, std::vector<std::unique_ptr<target_link>>> idle_links;  ///< By target id.
    std::map<std::string, double> split_credit;  ///< By route and service, for weighted turns.
    bool stopping = false;                       ///< Answers end their connections.
    bool refusing = false;  ///< Too late to run another request before the end of the process.

    /// Exchanges that wait for a target, oldest first.
    std::list<exchange*> waiting;
    /// Exchanges by the time of their final answer.
    std::multimap<std::chrono::steady_clock::time_point, exchange*> deadlines;
    /// Ask for a new look at the waiting exchanges, or at the next deadline.
    std::function<void()> wake_waiting;
    std::function<void()> deadlines_changed;
    /// Deletes an object after the running handler.
    std::function<void(std::function<void()>)> defer;
};

/// Parts of a weighted split take turns so that each count stays within one of its share.
const std::string& choose_part(router_core& core, const route& on);

}  // namespace mimosavalve::gateway
