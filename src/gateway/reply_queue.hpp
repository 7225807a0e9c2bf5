#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "internal_server.hpp"
#include "mimosavalve/gateway/clock.hpp"
#include "mimosavalve/gateway/peer_messages.hpp"

namespace mimosavalve::gateway {

/// A follower's call that waits for its reply.
struct waiting_call {
    sync_request request;
    internal_server::respond respond;
    boot_time arrived_at;
    std::string region;  ///< Of the router.
    boot_time earliest;  ///< The reply is not sent before, whatever changes.
    boot_time due;       ///< The reply is sent then, or from `earliest` on after a change.
};

/// The calls that wait for replies, in the order in which these are due, and the size of the
/// replies in transit to each region. The cost of a step does not depend on the number of calls
/// that are not due.
class reply_queue {
public:
    /// Adds a call in place of an earlier one of the same router, which has given that up. Returns
    /// whether there was one.
    bool add(waiting_call call);
    /// Makes all calls due now, or at their earliest time.
    void make_due(boot_time now);
    /// Takes the call that has been due longest, of those to whose regions few replies are in
    /// transit; nothing if there is none.
    std::optional<waiting_call> take_due(boot_time now);
    std::vector<waiting_call> take_all();

    /// Counts a reply as in transit, until its router has called again or for a maximum time.
    void record_sent(const std::string& host, const std::string& region, std::size_t bytes,
                     boot_time now);
    /// Records that the router has called again.
    void record_call(const std::string& host);
    /// Forgets the replies in transit.
    void restart();

private:
    struct position {
        boot_time due;
        std::uint64_t number = 0;  ///< Order of arrival.
        auto operator<=>(const position&) const = default;
    };
    struct placed_call {
        waiting_call call;
        std::uint64_t number = 0;
    };
    struct sent_reply {
        std::string region;
        std::size_t bytes = 0;
        std::uint64_t number = 0;
    };
    struct transit_end {
        boot_time at;
        std::string host;
        std::uint64_t number = 0;
    };
    void remove_expired(boot_time now);

    std::map<std::string, placed_call> calls_;                          ///< By host.
    std::map<std::string, std::map<position, std::string>> by_region_;  ///< Hosts.
    std::map<std::string, sent_reply> in_transit_;                      ///< By host.
    std::map<std::string, std::size_t> transit_bytes_;                  ///< By region.
    std::deque<transit_end> transit_ends_;                              ///< In order of time.
    std::uint64_t last_number_ = 0;
};

}  // namespace mimosavalve::gateway
