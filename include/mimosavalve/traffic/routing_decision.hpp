#pragma once

#include <functional>
#include <span>
#include <string_view>
#include <variant>

#include "mimosavalve/traffic/refusal.hpp"
#include "mimosavalve/traffic/request_head.hpp"
#include "mimosavalve/traffic/routing_table.hpp"

namespace mimosavalve::traffic {

/// The request may be sent to `target`. Pointers are valid as long as the routing table.
struct send_to {
    const route_entry* route = nullptr;
    const ownership::target* target = nullptr;
    const router::shard_view* shard = nullptr;  ///< Its serving lease must be valid at the send.
    version fence;
    ownership::slot_number slot = 0;  ///< 0 for unkeyed services.
    bool keyed = true;
};

/// The request must wait for a newer state or lease, which is expected soon. If the wait ends
/// without one, the request is refused with `reason`.
struct defer {
    const route_entry* route = nullptr;
    refusal_reason reason = refusal_reason::handover;  ///< `handover` or `no_serving_lease`.
};

/// The request is refused without being sent.
struct refuse {
    const route_entry* route = nullptr;  ///< Null when the route is unknown.
    refusal_reason reason = refusal_reason::bad_request;
    std::string_view detail;  ///< For `wrong_region` the region to ask; else empty.
};

using routing_decision = std::variant<send_to, defer, refuse>;

/// Returns one of the targets of an unkeyed service, or null when none may be used.
using target_chooser = std::function<const unkeyed_target*(std::span<const unkeyed_target>)>;

/// Decides about a request under this table at this time. Deterministic for keyed services; for
/// unkeyed ones `choose` selects the target, or the first candidate is used when `choose` is empty.
routing_decision decide(const routing_table& table, const request_head& head, steady_time now,
                        const target_chooser& choose = {});

/// Shard whose leader records the idempotency key of a request. For unkeyed services the hash of
/// the idempotency key selects the shard.
shard_id claim_shard_of(const routing_table& table, const send_to& decision,
                        const request_head& head);

}  // namespace mimosavalve::traffic
