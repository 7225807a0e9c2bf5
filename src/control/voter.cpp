#include "mimosavalve/control/voter.hpp"

#include <algorithm>

namespace mimosavalve::control {

bool accept_version(voter_record& record, const version& offered, bool listed) {
    if (offered <= record.accepted) {
        return false;
    }
    record.accepted = offered;
    record.listed = listed;
    return true;
}

renewal_status renew(voter_record& record, const renewal& from, steady_time now,
                     const timing& intervals) {
    if (from.held < record.accepted) {
        return renewal_status::router_behind;
    }
    if (from.held > record.accepted) {
        return renewal_status::voter_behind;
    }
    if (!record.listed) {
        return renewal_status::not_voter;
    }
    const auto until = now + lengthened(intervals.lease_window, intervals);
    const auto known = std::find_if(
        record.granted.begin(), record.granted.end(), [&](const granted_confirmation& entry) {
            return entry.router == from.router && entry.held == from.held;
        });
    if (known == record.granted.end()) {
        record.granted.push_back({from.router, from.address, from.held, until});
    } else {
        known->until = std::max(known->until, until);
        known->address = from.address;
    }
    return renewal_status::confirmed;
}

std::vector<granted_confirmation> outstanding_confirmations(const voter_record& record,
                                                            const version& below, steady_time now) {
    std::vector<granted_confirmation> result;
    for (const auto& entry : record.granted) {
        if (entry.until <= now || entry.held >= below) {
            continue;
        }
        const auto same = std::find_if(
            result.begin(), result.end(),
            [&](const granted_confirmation& other) { return other.router == entry.router; });
        if (same == result.end()) {
            result.push_back(entry);
        } else if (same->until < entry.until) {
            *same = entry;
        }
    }
    return result;
}

void discard_expired(voter_record& record, steady_time now) {
    std::erase_if(record.granted,
                  [&](const granted_confirmation& entry) { return entry.until <= now; });
}

}  // namespace mimosavalve::control
