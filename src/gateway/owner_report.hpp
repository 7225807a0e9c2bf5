#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "mimosavalve/gateway/clock.hpp"
#include "mimosavalve/gateway/target_registry.hpp"

// The leader's reaction to the contradictions that routers report (see owner_belief.hpp).

namespace mimosavalve::gateway {

/// Renewals of the grant of one range.
struct renewal_times {
    boot_time next;       ///< When the next one is due.
    boot_time sent_at;    ///< When the last one was sent.
    boot_time succeeded;  ///< When the owner last confirmed one.
};

/// Routers that have reported the owner of one range, under one fence.
struct range_reports {
    std::uint64_t fence = 0;
    std::map<std::string, boot_time> by_host;  ///< Time of the last report.
};

enum class report_effect {
    none,
    renew,      ///< The owner may have lost the grant.
    new_fence,  ///< The owner confirms its grant, and yet it answers 421.
};

/// Records a router's report about a range whose fence is `fence`.
report_effect record_owner_report(range_reports& reports, const std::string& host,
                                  std::uint64_t fence, const renewal_times& renewals,
                                  boot_time now);

/// Routers that have reported another target at the address of an entry.
struct moved_reports {
    std::uint64_t started_unix_ms = 0;
    std::string address;
    std::map<std::string, boot_time> by_host;  ///< Time of the last report.
    bool is_confirmed = false;                 ///< Enough routers agree.
};

/// Records a router's report about the entry. Returns whether it confirms that the target is not
/// there.
bool record_moved_report(moved_reports& reports, const std::string& host, const target_entry& entry,
                         boot_time now);

/// Whether routers agree that the target is not at the address of its present entry.
bool is_confirmed_moved(const moved_reports& reports, const target_entry& entry);

}  // namespace mimosavalve::gateway
