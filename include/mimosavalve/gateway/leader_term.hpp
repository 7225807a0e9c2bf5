#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "mimosavalve/gateway/clock.hpp"
#include "mimosavalve/gateway/peer_messages.hpp"

namespace mimosavalve::gateway {

// How long a leader may act, and when its successor may act without the consent of the owners that
// the leader granted keys to.
//
// While the store answers, the right to act is the store's lease. When the store is lost, a leader
// goes on as long as more than half of the recorded router runs confirm that they follow it and do
// not reach the store either. A successor, which needs the store, waits until more than half of the
// same runs follow it or have ended. Both halves share a run, and a run that follows the successor
// no longer confirms its predecessor; so the successor knows when the last right has ended.

/// What a leader last heard of one router.
struct router_evidence {
    std::uint64_t run = 0;
    boot_time follows;     ///< The router surely followed the leader at this time.
    boot_time store_lost;  ///< It surely did not reach the store at this time; epoch: it does.
    boot_time knows_long_holds;  ///< It surely knew that this leader grants long holds; epoch: no.
    std::optional<boot_time> told_long_holds;  ///< When it last told any leader so.
};
using evidence_by_host = std::map<std::string, router_evidence>;

/// Time that one confirmation extends the right of a leader that lost the store.
inline constexpr milliseconds confirmation_time{1000};

/// End of the right to act without the store. Nothing when too few runs confirm.
std::optional<boot_time> right_without_store(const router_runs& recorded,
                                             const evidence_by_host& heard);

/// Whether more than half of the recorded runs know that the leader grants long holds. Only then
/// may it: a successor hears of them from one of these runs, and waits for their end.
bool may_hold_long(const router_runs& recorded, const evidence_by_host& heard);

/// Whether more than half of the recorded runs follow the new leader or have ended. A run has ended
/// when another run of the same host was heard of.
bool has_taken_over(const router_runs& recorded, const evidence_by_host& heard);

struct hold_times {
    milliseconds calm{0};     ///< Of a grant while the store answers.
    milliseconds longest{0};  ///< Of a grant by a leader that is about to end without a successor.
};

/// Until when keys may be held that earlier leaders granted, known once the new leader has taken
/// over at `now`. The hold times include the margins for clocks and transit.
boot_time inherited_holds_end(const hold_times& holds, const evidence_by_host& heard,
                              boot_time now);

}  // namespace mimosavalve::gateway
