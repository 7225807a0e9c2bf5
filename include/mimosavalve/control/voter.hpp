#pragma once

#include <string>
#include <vector>

#include "mimosavalve/control/timing.hpp"
#include "mimosavalve/core/types.hpp"

namespace mimosavalve::control {

/// A promise to a router: the voter names it to the leader of any newer version until `until`.
struct granted_confirmation {
    instance_id router;
    std::string address;  ///< "ip:port" of the router's peer socket.
    version held;
    steady_time until;
};

/// What one voter remembers of one shard. It is lost on restart.
struct voter_record {
    version accepted;     ///< Newest version that this process has accepted.
    bool listed = false;  ///< The accepted state lists this process as a voter.
    std::vector<granted_confirmation> granted;
};

enum class renewal_status {
    confirmed,
    router_behind,
    voter_behind,
    not_voter,
};

/// A router that asks for a confirmation at the version that it holds.
struct renewal {
    instance_id router;
    std::string address;
    version held;
};

/// Accepts a newer version; no older one is confirmed afterwards. False when it is not newer.
bool accept(voter_record& record, const version& offered, bool listed);

/// Confirms when the router holds exactly the accepted version, and records the promise.
renewal_status renew(voter_record& record, const renewal& from, steady_time now,
                     const timing& intervals);

/// Unexpired promises for versions older than `below`, one per router with its latest end.
std::vector<granted_confirmation> outstanding(const voter_record& record, const version& below,
                                              steady_time now);

/// Forgets the promises that have ended.
void drop_expired(voter_record& record, steady_time now);

}  // namespace mimosavalve::control
