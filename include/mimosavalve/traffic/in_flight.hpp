#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "mimosavalve/traffic/routing_decision.hpp"

namespace mimosavalve::traffic {

/// A keyed request that was sent to a target and has not ended. Kept by its sender and reused for
/// the next request, so that the strings keep their memory.
struct in_flight_request {
    std::string route;
    std::string account;
    std::string calling_account;
    std::string id;
    std::string target;
    shard_id shard;
    bool contradicts = false;  ///< The held state gives its key to another target.
    std::size_t position = 0;  ///< Index in the set.
};

/// How far one thread has let go of older versions of a shard.
struct shard_drain {
    shard_id shard;
    version held;     ///< Version that the thread decides by.
    version drained;  ///< Newest version that no request of the thread contradicts.
    std::uint32_t contradicting = 0;
};

/// Requests in flight of one thread.
struct in_flight_set {
    std::vector<in_flight_request*> requests;
    std::vector<shard_drain> shards;
};

/// Fills the request from the decision that it is sent by.
void describe(in_flight_request& request, const request_head& head, const send_to& decision);

/// `request` must stay in place until `remove`. Constant time.
void add(in_flight_set& set, in_flight_request& request);

/// Constant time, but for a request that contradicts the held state. True when a drained version
/// changed.
bool remove(in_flight_set& set, in_flight_request& request);

/// Takes a newer table as the one that the thread decides by and compares all requests with it.
void adopt(in_flight_set& set, const routing_table& table);

/// Zero when the shard is not known.
version drained_version(const in_flight_set& set, const shard_id& shard);

}  // namespace mimosavalve::traffic
