#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "mimosavalve/gateway/clock.hpp"
#include "mimosavalve/gateway/target_table.hpp"
#include "mimosavalve/traffic/quarantine.hpp"

namespace mimosavalve::gateway {

/// What a router has seen of requests that may crash targets, since its last report.
struct crash_report {
    struct loss {
        std::string run;  ///< Of the target, as of `run_name`.
        std::uint64_t fingerprint = 0;
        boot_time at;
    };
    std::vector<loss> losses;
    std::set<std::string> gone;        ///< Runs of targets that refused a connection.
    std::set<std::uint64_t> answered;  ///< Suspects that a target has answered.
};

/// What the leader tells the routers.
struct crash_news {
    std::set<std::uint64_t> suspects;  ///< To be reported when they are answered.
    std::set<std::uint64_t> held;      ///< To be refused.

    bool operator==(const crash_news&) const = default;
};

/// Name of one run of a target: a target that has started again is another one.
std::string run_name(std::string_view target_id, std::uint64_t started_unix_ms);

/// The target lost its connection before it had answered the request.
void note_lost(crash_report& report, std::string run, std::uint64_t fingerprint, boot_time now);

/// What the leader has gathered from all reports.
struct crash_watch {
    traffic::quarantine quarantine;
    std::map<std::string, boot_time> gone;  ///< Runs of targets, with the time of the report.
    /// Runs of targets that the leader knew itself, and when last: after a start of all hosts its
    /// registry may lack targets that others know already.
    std::map<std::string, boot_time> seen;
};

/// A new leader goes on from what the former one has told.
crash_watch continue_watch(const crash_news& news, boot_time now);

/// Leader: takes a router's report into account.
void add_report(crash_watch& watch, const crash_report& report, boot_time now);

/// Leader: which requests crash targets, by the losses until now and the targets that still run.
crash_news find_crashes(
    crash_watch& watch,
    const std::map<std::string, std::unique_ptr<target_state>, std::less<>>& targets,
    boot_time now);

}  // namespace mimosavalve::gateway
