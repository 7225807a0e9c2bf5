// Routers' reports of owners that answer 421.

#include "key_decider.hpp"

namespace mimosavalve::gateway {

void key_decider::add_contradictions(const std::string& host, const sync_request& reports) {
    const auto now = core_.now();
    if (!may_act(now)) {
        return;
    }
    bool must_renew = false;
    for (const auto& report : reports.misdirected) {
        must_renew = add_misdirected(host, report, now) || must_renew;
    }
    for (const auto& [id, started_unix_ms] : reports.moved) {
        const auto entry = core_.state.registry.targets.find(id);
        if (entry == core_.state.registry.targets.end() ||
            entry->second.started_unix_ms != started_unix_ms) {
            continue;
        }
        if (record_moved_report(moved_[id], host, entry->second, now)) {
            count(core_.metrics, "targets_moved");
            core_.log.write_always("target_moved",
                                   {{"target", id}, {"address", entry->second.address}});
        }
    }
    if (must_renew) {
        renew(now);
    }
}

bool key_decider::add_misdirected(const std::string& host, const misdirected_report& report,
                                  boot_time now) {
    const auto found = services_.find(report.service);
    const auto map = core_.state.keys.find(report.service);
    if (found == services_.end() || map == core_.state.keys.end() || !found->second.loaded ||
        found->second.outdated || report.first_key >= key_count) {
        return false;
    }
    const auto keys = segment_of(map->second, report.first_key);
    if (keys.moving || keys.fence != report.fence || keys.owner != report.target) {
        return false;
    }
    auto& renewals = found->second.renewals[keys.first];
    const auto effect =
        record_owner_report(found->second.reports[keys.first], host, keys.fence, renewals, now);
    if (effect == report_effect::none) {
        return false;
    }
    const bool needs_fence = effect == report_effect::new_fence && !store_unavailable_;
    count(core_.metrics, needs_fence ? "owner_report_fences" : "owner_report_renewals");
    core_.log.write("owner_reported", {{"service", report.service},
                                       {"first", std::int64_t{keys.first}},
                                       {"target", keys.owner},
                                       {"fence", static_cast<std::int64_t>(keys.fence)},
                                       {"by", host},
                                       {"new_fence", std::int64_t{needs_fence}}});
    if (needs_fence) {
        assign_new_fence(report.service, keys);
        return false;
    }
    renewals.next = {};
    return true;
}

bool key_decider::has_moved(const std::string& id) const {
    const auto known = moved_.find(id);
    const auto entry = core_.state.registry.targets.find(id);
    return known != moved_.end() && entry != core_.state.registry.targets.end() &&
           is_confirmed_moved(known->second, entry->second);
}

}  // namespace mimosavalve::gateway
