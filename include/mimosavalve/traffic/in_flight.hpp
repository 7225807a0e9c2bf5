#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "mimosavalve/traffic/routing_decision.hpp"

namespace mimosavalve::traffic {

/// A keyed request that was sent to a target and has not ended. Owned by its sender, which reuses
/// the object for its next request to avoid allocating the strings again.
struct in_flight_request {
    std::string route;
    std::string account;
    std::string calling_account;
    std::string id;
    std::string target;
    shard_id shard;
    bool is_stale = false;     ///< The adopted state does not route its key to `target`.
    std::size_t position = 0;  ///< Index in `in_flight_set::requests`.
};

/// Progress of one thread in finishing the requests that it sent under older versions of a shard.
struct shard_drain {
    shard_id shard;
    version adopted;  ///< Version that the thread routes by.
    version drained;  ///< Newest adopted version under which no request in flight was stale.
    std::uint32_t stale_requests = 0;  ///< Number of stale requests in flight for the shard.
};

/// Requests in flight of one thread.
struct in_flight_set {
    std::vector<in_flight_request*> requests;
    std::vector<shard_drain> shards;
};

/// Fills `request` from the head and the decision under which it is sent.
void fill_request(in_flight_request& request, const request_head& head, const send_to& decision);

/// Adds a request; the set keeps its address until `remove`. Constant time.
void add(in_flight_set& set, in_flight_request& request);

/// Removes a request that has ended. True when the shard's drained version changed. Constant time,
/// except for a stale request, whose shard is searched for.
bool remove(in_flight_set& set, in_flight_request& request);

/// Makes `table` the one that the thread routes by and compares all requests in flight with it.
void adopt_table(in_flight_set& set, const routing_table& table);

/// Drained version of a shard; zero when the shard is not known.
version drained_version(const in_flight_set& set, const shard_id& shard);

}  // namespace mimosavalve::traffic
