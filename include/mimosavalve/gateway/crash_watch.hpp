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

/// A router's observations, since its last report, of requests that may crash targets.
struct crash_report {
    struct loss {
        std::string target_instance;  ///< As returned by `instance_name`.
        std::uint64_t fingerprint = 0;
        boot_time at;  ///< When the connection was lost.
    };
    std::vector<loss> losses;
    std::set<std::string> ended_instances;      ///< Target instances that refused a connection.
    std::set<std::uint64_t> answered_suspects;  ///< Suspect requests that a target has answered.
};

/// Requests that were in flight at a target instance when it ended.
struct confirmed_crash {
    std::string target_instance;  ///< As returned by `instance_name`.
    std::vector<std::uint64_t> fingerprints;
    boot_time at;

    bool operator==(const confirmed_crash&) const = default;
};

/// What the leader has found out and sends to the routers.
struct crash_findings {
    /// Fingerprints of requests that may have crashed targets; routers report when one of them is
    /// answered.
    std::set<std::uint64_t> suspects;
    std::set<std::uint64_t> quarantined;  ///< Fingerprints of requests that routers refuse.
    /// Latest crashes, for the leader's successor.
    std::vector<confirmed_crash> crashes{};

    bool operator==(const crash_findings&) const = default;
};

/// Name of one instance of a target; a restarted target is another instance.
std::string instance_name(std::string_view target_id, std::uint64_t started_unix_ms);

/// Records that the connection to a target was lost before the target answered the request. Does
/// nothing when the report already holds its maximum number of losses.
void record_lost_connection(crash_report& report, std::string target_instance,
                            std::uint64_t fingerprint, boot_time now);

/// Adds the losses of a report to those that a router keeps for a new leader, and discards those
/// that are too old to be confirmed, or whose request has been answered since.
void keep_losses(std::vector<crash_report::loss>& kept, const crash_report& report, boot_time now);

/// The leader's record of all routers' reports.
struct crash_watch {
    traffic::quarantine quarantine;
    /// Target instances that refused a connection, with the time of the report.
    std::map<std::string, boot_time> ended_instances;
    /// Target instances that were in the leader's own registry, with the time at which each was
    /// last in it. Only for these does absence from the registry mean that the instance has ended:
    /// after a start of all hosts the leader's registry may lack targets that other routers have
    /// already received.
    std::map<std::string, boot_time> known_instances;
};

/// State of a new leader: keeps the requests quarantined and the crashes that the previous leader
/// announced. `targets`: those in its registry.
crash_watch resume_crash_watch(
    const crash_findings& findings,
    const std::map<std::string, std::unique_ptr<target_state>, std::less<>>& targets,
    boot_time now);

/// Leader: adds a router's report.
void add_report(crash_watch& watch, const crash_report& report, boot_time now);

/// Leader: finds the requests that crash targets, from the reported losses and from which target
/// instances still run.
crash_findings find_crashes(
    crash_watch& watch,
    const std::map<std::string, std::unique_ptr<target_state>, std::less<>>& targets,
    boot_time now);

}  // namespace mimosavalve::gateway
