#include "mimosavalve/traffic/in_flight.hpp"

#include <algorithm>

namespace mimosavalve::traffic {

namespace detail {

shard_drain* find_drain(in_flight_set& set, const shard_id& shard) {
    const auto found = std::find_if(set.shards.begin(), set.shards.end(),
                                    [&](const shard_drain& drain) { return drain.shard == shard; });
    return found == set.shards.end() ? nullptr : &*found;
}

bool is_stale(const routing_table& table, const in_flight_request& request) {
    request_head head;
    // With any method but "POST" the decision ignores the idempotency fields, which have no
    // influence on the owner of a key.
    head.method = "GET";
    head.route = request.route;
    head.account = request.account;
    head.calling_account = request.calling_account;
    head.id = request.id;
    // `decide` is asked for the earliest time, at which every lease is still valid, so that only
    // the owner is compared. A request for which the decision names no target counts as stale,
    // which only delays the report that the version is drained.
    const auto decision = decide(table, head, steady_time::min());
    const auto* sent = std::get_if<send_to>(&decision);
    return sent == nullptr || sent->target->id != request.target;
}

void adopt_version(in_flight_set& set, const ownership::shard_state& state) {
    auto* drain = find_drain(set, state.shard);
    if (drain == nullptr) {
        set.shards.push_back({state.shard, state.at, {}, 0});
        return;
    }
    drain->adopted = state.at;
    drain->stale_requests = 0;
}

void update_drained_version(shard_drain& drain) {
    if (drain.stale_requests == 0) {
        drain.drained = drain.adopted;
    }
}

}  // namespace detail

void fill_request(in_flight_request& request, const request_head& head, const send_to& decision) {
    request.route = head.route;
    request.account = head.account;
    request.calling_account = head.calling_account;
    request.id = head.id;
    request.target = decision.target->id;
    request.shard = decision.shard->state->shard;
    request.is_stale = false;
}

void add(in_flight_set& set, in_flight_request& request) {
    request.position = set.requests.size();
    set.requests.push_back(&request);
}

bool remove(in_flight_set& set, in_flight_request& request) {
    auto* last = set.requests.back();
    last->position = request.position;
    set.requests[request.position] = last;
    set.requests.pop_back();
    if (!request.is_stale) {
        return false;
    }
    request.is_stale = false;
    auto* drain = detail::find_drain(set, request.shard);
    if (drain == nullptr || drain->stale_requests == 0) {
        return false;
    }
    --drain->stale_requests;
    detail::update_drained_version(*drain);
    return drain->stale_requests == 0;
}

void adopt_table(in_flight_set& set, const routing_table& table) {
    for (const auto& shard : table.snapshot->shards) {
        detail::adopt_version(set, *shard.state);
    }
    for (auto* request : set.requests) {
        request->is_stale = detail::is_stale(table, *request);
        auto* drain = detail::find_drain(set, request->shard);
        if (request->is_stale && drain != nullptr) {
            ++drain->stale_requests;
        }
    }
    for (auto& drain : set.shards) {
        detail::update_drained_version(drain);
    }
}

version drained_version(const in_flight_set& set, const shard_id& shard) {
    const auto found = std::find_if(set.shards.begin(), set.shards.end(),
                                    [&](const shard_drain& drain) { return drain.shard == shard; });
    return found == set.shards.end() ? version{} : found->drained;
}

}  // namespace mimosavalve::traffic
