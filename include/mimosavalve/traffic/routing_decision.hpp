#pragma once

#include <functional>
#include <span>
#include <string_view>
#include <variant>

#include "mimosavalve/traffic/refusal.hpp"
#include "mimosavalve/traffic/request_head.hpp"
#include "mimosavalve/traffic/routing_table.hpp"

namespace mimosavalve::traffic {

/// The request may go to `target`. Pointers are valid as long as the routing table.
struct send_to {
    const route_entry* route = nullptr;
    const ownership::target* target = nullptr;
    const router::shard_view* shard = nullptr;  ///< Its serving lease must hold at the send.
    version fence;
    ownership::slot_number slot = 0;  ///< 0 for unkeyed services.
    bool keyed = true;
};

/// The request waits: the state that permits it is expected soon. When that does not come within
/// the deadline, the request is refused with `reason`.
struct hold {
    const route_entry* route = nullptr;
    refusal_reason reason = refusal_reason::handover;  ///< `handover` or `no_serving_lease`.
};

struct refuse {
    const route_entry* route = nullptr;  ///< Null when the route is unknown.
    refusal_reason reason = refusal_reason::bad_request;
    std::string_view detail;  ///< For `wrong_region` the region to ask; else empty.
};

using routing_decision = std::variant<send_to, hold, refuse>;

/// Chooses one of the targets of an unkeyed service, or null when none may be used.
using target_chooser = std::function<const unkeyed_target*(std::span<const unkeyed_target>)>;

/// Where a request goes under this table at this time. Deterministic for keyed services; `choose`
/// is called for unkeyed ones (the first candidate when it is empty).
routing_decision decide(const routing_table& table, const request_head& head, steady_time now,
                        const target_chooser& choose = {});

/// Shard whose leader keeps the idempotency key of a request. For unkeyed services the key itself
/// selects the shard.
shard_id claim_shard(const routing_table& table, const send_to& decision, const request_head& head);

}  // namespace mimosavalve::traffic
