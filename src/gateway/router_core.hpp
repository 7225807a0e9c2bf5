#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "loop_watch.hpp"
#include "mimosavalve/gateway/crash_watch.hpp"
#include "mimosavalve/gateway/gateway_metrics.hpp"
#include "mimosavalve/gateway/gateway_settings.hpp"
#include "mimosavalve/gateway/key_load.hpp"
#include "mimosavalve/gateway/platform_port.hpp"
#include "mimosavalve/gateway/retry_budget.hpp"
#include "mimosavalve/gateway/target_link.hpp"
#include "mimosavalve/gateway/target_table.hpp"
#include "mimosavalve/observe/decision_log.hpp"

namespace mimosavalve::gateway {

class exchange;

/// State shared by the parts of a router process. Everything runs on one thread.
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
    std::map<std::string, retry_budget> retry_budgets;  ///< Retry budgets by service.
    std::map<std::string, key_load> key_loads;  ///< Load by keyed service since the last report.
    /// Requests by destination (see quota_allocation.hpp) since the last report.
    std::map<std::string, std::uint32_t> demand;
    loop_watch loop;
    crash_report crashes;  ///< Observations about crashes since the last report.
    /// Reported losses that a new leader may not know yet.
    std::vector<crash_report::loss> reported_losses;
    crash_findings announced_crashes;  ///< Findings that the leader last announced.
    std::map<std::string, std::vector<std::unique_ptr<target_link>>> idle_links;  ///< By target id.
    /// Mean time until the answer of forwarded requests, by service.
    std::map<std::string, double> forwarded_answer_ms;
    std::uint64_t links_opened = 0;              ///< Also the number of the last opened link.
    std::map<std::string, double> split_credit;  ///< Of weighted splits, by route and service.
    bool stopping = false;  ///< The process is stopping; answers close callers' connections.
    /// Set while the process is stopping: the time at which it answers all requests that it still
    /// has. No request is sent that may have no answer by then.
    std::optional<std::chrono::steady_clock::time_point> answers_until;
    /// Set while the process is stopping: from then on only requests are sent whose time-out ends
    /// before `answers_until`, however short their answers usually take.
    std::optional<std::chrono::steady_clock::time_point> estimates_until;

    /// Bytes of answers that wait for the answers before them on their callers' connections.
    std::size_t queued_answer_bytes = 0;
    /// Exchanges that wait for a target, in the order in which they are dispatched again.
    std::list<exchange*> waiting;
    /// Exchanges by the time of their final answer.
    std::multimap<std::chrono::steady_clock::time_point, exchange*> deadlines;
    /// Requests that the waiting exchanges are dispatched again.
    std::function<void()> wake_waiting;
    /// Reports that `deadlines` may have a new earliest entry.
    std::function<void()> deadlines_changed;
    /// Runs a function after the current handler, as for deleting an object that is in use.
    std::function<void(std::function<void()>)> defer;
};

/// Chooses the service of a request. The parts of a weighted split take turns, so that the count of
/// each stays within one request of its share.
const std::string& choose_service(router_core& core, const route& request_route);

/// Dispatches the waiting requests again, in their order.
void dispatch_waiting(router_core& core);

}  // namespace mimosavalve::gateway
