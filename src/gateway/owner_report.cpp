#include "owner_report.hpp"

namespace mimosavalve::gateway {

namespace detail {

// Reports of all routers about one event arrive within a few ms of each other; one renewal serves
// them all.
constexpr milliseconds min_renewal_interval{100};
constexpr std::size_t reports_for_new_fence = 3;
constexpr milliseconds owner_report_lifetime{1000};
// One router alone may be wrong, for example about an answer that was altered on its way.
constexpr std::size_t reports_for_moved = 2;
// Routers believe the entry again after this time, and then report once more.
constexpr milliseconds moved_report_lifetime{5000};

}  // namespace detail

report_effect record_owner_report(range_reports& reports, const std::string& host,
                                  std::uint64_t fence, const renewal_times& renewals,
                                  boot_time now) {
    if (reports.fence != fence) {
        reports = {fence, {}};
    }
    std::erase_if(reports.by_host, [&](const auto& report) {
        return now - report.second > detail::owner_report_lifetime;
    });
    reports.by_host[host] = now;
    const bool is_renewed = renewals.succeeded != boot_time{} &&
                            now - renewals.succeeded <= detail::owner_report_lifetime;
    if (reports.by_host.size() >= detail::reports_for_new_fence && is_renewed) {
        reports.by_host.clear();
        return report_effect::new_fence;
    }
    return now - renewals.sent_at > detail::min_renewal_interval ? report_effect::renew
                                                                 : report_effect::none;
}

bool record_moved_report(moved_reports& reports, const std::string& host, const target_entry& entry,
                         boot_time now) {
    if (reports.started_unix_ms != entry.started_unix_ms || reports.address != entry.address) {
        reports = {entry.started_unix_ms, entry.address, {}, false};
    }
    std::erase_if(reports.by_host, [&](const auto& report) {
        return now - report.second > detail::moved_report_lifetime;
    });
    reports.by_host[host] = now;
    const bool is_news =
        !reports.is_confirmed && reports.by_host.size() >= detail::reports_for_moved;
    reports.is_confirmed = reports.is_confirmed || is_news;
    return is_news;
}

bool is_confirmed_moved(const moved_reports& reports, const target_entry& entry) {
    return reports.is_confirmed && reports.started_unix_ms == entry.started_unix_ms &&
           reports.address == entry.address;
}

}  // namespace mimosavalve::gateway
