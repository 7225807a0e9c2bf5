#include "registry_reader.hpp"

#include "control_timing.hpp"
#include "store_listing.hpp"

namespace mimosavalve::gateway {

namespace detail {

// All routers must receive that a target is leaving within 2.5 s (leave time of the platform).
constexpr milliseconds leader_read_interval{300};
// For a router that reads the registry itself, since its leader does not answer, and after a failed
// read.
constexpr milliseconds slow_read_interval{800};
// Duration from which a read of the registry is logged.
constexpr milliseconds slow_read_time{300};

}  // namespace detail

registry_reader::registry_reader(router_core& core, fleet_state& fleet,
                                 std::function<void()> changed)
    : core_(core), fleet_(fleet), changed_(std::move(changed)) {}

void registry_reader::read_when_due(boot_time now) {
    if (call_in_flight_ || now < next_read_) {
        return;
    }
    call_in_flight_ = true;
    next_read_ = now + (fleet_.leading ? detail::leader_read_interval : detail::slow_read_interval);
    list_all(core_.platform.store, core_.platform.keys.targets, detail::store_call_time,
             life_.guard([this, now](std::error_code error, const store_items& items) {
                 call_in_flight_ = false;
                 on_reading(now, error, items);
             }));
}

void registry_reader::on_reading(boot_time began_at, std::error_code error,
                                 const store_items& items) {
    const auto now = core_.now();
    count(core_.metrics, error ? "registry_reads_failed" : "registry_reads");
    if (error || now - began_at > detail::slow_read_time) {
        core_.log.write_always("registry_read",
                               {{"error", std::string_view(error ? error.message() : "")},
                                {"took_ms", -milliseconds_until(began_at, now)},
                                {"items", static_cast<std::int64_t>(items.items.size())},
                                {"revision", static_cast<std::int64_t>(items.revision)}});
    }
    if (error || !fleet_.store_responsive) {
        record_registry_outage(outage_, now);
    }
    record_store_call(core_, fleet_, !error, "list targets");
    if (error) {
        next_read_ = now + detail::slow_read_interval;
        return;
    }
    fleet_.registry_read_at = now;
    core_.state.registry_known_at = std::max(core_.state.registry_known_at, began_at);
    registry_snapshot reading;
    reading.revision = items.revision;
    reading.evacuated_domains = core_.state.registry.evacuated_domains;
    for (const auto& item : items.items) {
        const auto id = std::string_view(item.key).substr(core_.platform.keys.targets.size());
        auto entry = core_.platform.decode_target(id, item.value);
        if (entry) {
            reading.targets.push_back(std::move(*entry));
        } else {
            ++reading.ignored_entries;
        }
    }
    if (reading.ignored_entries > 0) {
        count(core_.metrics, "registry_entries_ignored", reading.ignored_entries);
    }
    apply(merge_snapshot(core_.state.registry, reading, outage_, now));
}

void registry_reader::apply(const registry_state& next) {
    const auto& previous = core_.state.registry;
    const bool changed = differs_for_routing(previous, next);
    const auto revision = static_cast<std::int64_t>(next.revision);
    for (const auto& [id, entry] : next.targets) {
        const auto found = previous.targets.find(id);
        if (found == previous.targets.end() || found->second.leaving != entry.leaving ||
            found->second.started_unix_ms != entry.started_unix_ms) {
            core_.log.write("target_state", {{"target", id},
                                             {"service", entry.service},
                                             {"leaving", std::int64_t{entry.leaving}},
                                             {"revision", revision}});
        }
    }
    for (const auto& [id, entry] : previous.targets) {
        if (!next.targets.contains(id)) {
            core_.log.write("target_gone", {{"target", id}, {"revision", revision}});
        }
    }
    core_.state.registry = next;
    for (auto& removed : update_targets(core_.state, core_.now())) {
        core_.idle_links.erase(removed->entry.id);
    }
    if (changed) {
        changed_();
    }
}

void registry_reader::set_evacuated(const std::set<std::string>& domains) {
    if (core_.state.registry.evacuated_domains != domains) {
        auto next = core_.state.registry;
        next.evacuated_domains = domains;
        apply(next);
    }
}

}  // namespace mimosavalve::gateway
