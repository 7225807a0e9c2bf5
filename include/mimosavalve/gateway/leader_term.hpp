#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "mimosavalve/gateway/clock.hpp"
#include "mimosavalve/gateway/gateway_settings.hpp"
#include "mimosavalve/gateway/peer_messages.hpp"

namespace mimosavalve::gateway {

// How long a leader may act, and from when its successor may move keys whose owners have not
// released them.
//
// A hold is the time for which a target may serve keys after a grant. A long hold is one of the
// maximum time, which a leader grants when it stops while the store is unavailable: until the store
// is available again, no successor can be elected that would renew the grant.
//
// While the store answers, the leader's term lasts as long as its lease in the store. When the
// store is unavailable, the leader continues as long as more than half of the recorded router
// instances confirm that they follow it and cannot reach the store either. A successor, which needs
// the store to be elected, waits until so many of the same instances follow it or have ended that
// the others are no majority. An instance that follows the successor no longer confirms its
// predecessor. So the successor can tell when the predecessor's term ended at the latest. The
// predecessor's last grants may still be in transit then. How long is judged by the network that
// the successor sees, and added to the end of the holds whenever that is asked (see
// grant_transit.hpp).
//
// An instance that has ended shows that the predecessor's term is over, but not which holds the
// predecessor granted: what its routers had received was in their memory. So a successor that hears
// of too few of the recorded instances themselves counts on long holds. These end a fixed time
// after the predecessor's lease, which has ended before the successor's election.
//
// Instances on hosts that are gone for good neither follow nor end as far as the successor can see,
// so it does not wait for them longer than `max_hold_after_lease`. A leader that only the routers
// of one part of the fleet confirm, which may be cut off from all others, therefore grants nothing
// that would last longer. Parts are regions or, in a fleet of one region, failure domains. A leader
// that is confirmed in every part continues without a limit: a successor is in one of the parts,
// and its announcement reaches the routers there.

/// What the calls of one router prove to the leader.
struct router_evidence {
    std::uint64_t instance = 0;  ///< Of the router.
    /// The router sent its last call, as a follower, at this time or later.
    boot_time followed_at;
    /// The same as `followed_at` if the last call reported that the router cannot reach the store;
    /// else `boot_time{}`.
    boot_time store_lost_at;
    /// When it confirmed this leader's announcement of long holds; `boot_time{}`: never.
    boot_time long_holds_known_at;
    /// When it last confirmed long holds to any leader, at the latest.
    std::optional<boot_time> long_holds_reported_at;
    std::string failure_domain{};  ///< Of the router's host.
};
using evidence_by_host = std::map<std::string, router_evidence>;

/// Time for which one confirmation extends the term of a leader that cannot reach the store.
inline constexpr milliseconds confirmation_time{1000};
/// Time after a leader's lease in which its long holds end, and all holds that it grants without
/// the store unless every part of the fleet confirms it. A successor waits as long for routers that
/// are silent.
inline constexpr milliseconds max_hold_after_lease{8000};

/// End of the leader's term without the store; nothing when too few router instances confirm it.
std::optional<boot_time> lease_without_store(const router_instances& recorded,
                                             const evidence_by_host& evidence);

/// The same for the time until which routers in every part of the fleet confirm the term as well:
/// in each region or, in a fleet of one region, in each failure domain.
std::optional<boot_time> lease_by_all_parts(const router_instances& recorded,
                                            const evidence_by_host& evidence,
                                            const region_map& regions);

/// Whether more than half of the recorded router instances have received the announcement of long
/// holds. The leader may grant them only then: a successor receives a report of them from at least
/// one of these instances, and waits for their end.
bool may_grant_long_holds(const router_instances& recorded, const evidence_by_host& evidence);

/// Whether the new leader would know of long holds: a recorded instance that follows it reports
/// them, and so many do that each majority of the recorded instances has one of them. A restarted
/// router has forgotten what its earlier instance received.
bool would_report_long_holds(const router_instances& recorded, const evidence_by_host& evidence);

/// Whether so many of the recorded router instances follow the new leader or have ended that the
/// others are no majority. An instance has ended when another instance of the same host has called
/// the leader.
bool has_taken_over(const router_instances& recorded, const evidence_by_host& evidence);

/// Bounds of the time for which a target may serve keys after a grant has arrived.
struct hold_times {
    milliseconds normal{0};  ///< For a grant while the store answers.
    milliseconds max{0};     ///< Of a long hold.
};

/// Latest time until which targets may hold keys that earlier leaders granted, without the transit
/// of the grants, if the recorded routers have left the predecessor by `now`. The hold times
/// include the margin for clock drift. `lease_left`: time for which the predecessor may still count
/// its lease as valid. It is not 0 when the store has come back older, since a successor does not
/// wait for the lease's end then.
boot_time inherited_holds_end(const hold_times& holds, const evidence_by_host& evidence,
                              boot_time now, milliseconds lease_left = milliseconds(0));

/// End of the term of a leader that only one part of the fleet confirms and whose lease in the
/// store ended at `lease_end`: the normal holds that it grants end when its long holds do.
boot_time isolated_term_end(const hold_times& holds, boot_time lease_end);

/// Latest end of long holds of a leader whose lease in the store ended at `lease_end`, without the
/// transit of their grants.
boot_time long_holds_end(const hold_times& holds, boot_time lease_end);

/// Whether the item with this revision, which a leader wrote to the store, names no leader any
/// more: the store has come back older since the leader was elected, so the leader's lease may be
/// gone, and other leaders may have been elected and forgotten.
bool is_stale(const leader_identity& leader, std::uint64_t revision);

/// Whether a leader may rely on a record that a leader of another epoch wrote. A record of an
/// earlier era of the store may lack what was written last before the store came back older.
/// Records of earlier versions of the program have no epoch (0) and count as current.
bool is_current(std::uint64_t record_epoch, std::uint64_t epoch);

/// First fence of the term with this epoch (the revision of the leader's item). It is greater than
/// all fences of earlier terms, also after the store has come back older.
std::uint64_t first_fence(std::uint64_t epoch);

}  // namespace mimosavalve::gateway
