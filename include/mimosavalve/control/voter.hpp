#pragma once

#include <string>
#include <vector>

#include "mimosavalve/control/timing.hpp"
#include "mimosavalve/core/types.hpp"

namespace mimosavalve::control {

/// A confirmation that a voter gave to a router. Until `until` the voter reports this router to the
/// leader of any newer version.
struct granted_confirmation {
    instance_id router;
    std::string address;  ///< "ip:port" of the router's peer socket.
    version held;         ///< Version that the router held when the confirmation was given.
    steady_time until;
};

/// Record that one voter keeps of one shard, in memory only.
struct voter_record {
    version accepted;     ///< Newest version that this process has accepted.
    bool listed = false;  ///< Whether the accepted state lists this process as a voter.
    std::vector<granted_confirmation> granted;
};

enum class renewal_status {
    confirmed,
    router_behind,  ///< The router holds an older version than the accepted one.
    voter_behind,   ///< The router holds a newer version than the accepted one.
    not_voter,      ///< The accepted state does not list this process as a voter.
};

/// A router's request for a confirmation of the version that it holds.
struct renewal {
    instance_id router;
    std::string address;
    version held;
};

/// Accepts a newer version, after which no older one is confirmed. Returns false when `offered` is
/// not newer.
bool accept_version(voter_record& record, const version& offered, bool listed);

/// Confirms a renewal when this process is a voter and the router holds exactly the accepted
/// version, and records the confirmation.
renewal_status renew(voter_record& record, const renewal& from, steady_time now,
                     const timing& intervals);

/// Returns the unexpired confirmations for versions older than `below`. For each router only the
/// confirmation with the latest end is returned.
std::vector<granted_confirmation> outstanding_confirmations(const voter_record& record,
                                                            const version& below, steady_time now);

/// Discards the confirmations that have ended.
void discard_expired(voter_record& record, steady_time now);

}  // namespace mimosavalve::control
