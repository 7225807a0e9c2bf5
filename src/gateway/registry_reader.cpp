#include "registry_reader.hpp"

#include "control_timing.hpp"
#include "mimosavalve/core/error.hpp"
#include "store_listing.hpp"

namespace mimosavalve::gateway {

namespace detail {

// Time for which the store may wait for a change before it answers. A router knows only from an
// answer that nothing has changed.
constexpr milliseconds max_wait_for_changes{200};
constexpr milliseconds wait_timeout = max_wait_for_changes + store_call_time;
// Minimum interval between reads. Changes of this time make one state of the leader's history,
// which must reach back to the last reply to each router.
constexpr milliseconds read_interval{200};
// Minimum interval between listings during an outage of the store and after it, when all routers
// read much at once.
constexpr milliseconds outage_listing_interval{800};
// Interval between the leader's listings, which find changes that were not reported.
constexpr milliseconds listing_interval{3000};
// Duration of an outage of the store from which entries of live targets may expire: these write
// them about every second, and an entry expires when three writes are missing.
constexpr milliseconds min_outage{700};
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
    const auto& registry = core_.state.registry;
    const bool lists =
        must_list_ || registry.revision == 0 || (fleet_.leading && now >= next_listing_);
    const auto kind = lists ? read_kind::listing : read_kind::changes;
    call_in_flight_ = true;
    next_read_ = now + detail::read_interval;
    auto done = life_.guard([this, kind, now](std::error_code error, const store_items& items) {
        call_in_flight_ = false;
        on_reading(kind, now, error, items);
    });
    if (lists) {
        list_all(core_.platform.store, core_.platform.keys.targets, detail::store_call_time,
                 std::move(done));
    } else {
        core_.platform.store.watch(core_.platform.keys.targets, registry.revision,
                                   detail::max_wait_for_changes,
                                   detail::deadline_in(detail::wait_timeout), std::move(done));
    }
}

void registry_reader::on_reading(read_kind kind, boot_time began_at, std::error_code error,
                                 const store_items& items) {
    const auto now = core_.now();
    const auto expected_time = kind == read_kind::listing
                                   ? detail::slow_read_time
                                   : detail::slow_read_time + detail::max_wait_for_changes;
    count(core_.metrics, error ? "registry_reads_failed" : "registry_reads");
    record_skipped_items(core_, "read targets", items);
    if (error || now - began_at > expected_time) {
        core_.log.write_always("registry_read",
                               {{"kind", kind == read_kind::listing ? "listing" : "changes"},
                                {"error", std::string_view(error ? error.message() : "")},
                                {"took_ms", -milliseconds_until(began_at, now)},
                                {"items", static_cast<std::int64_t>(items.items.size())},
                                {"revision", static_cast<std::int64_t>(items.revision)}});
    }
    if (error == errc::history_lost) {
        must_list_ = true;
        next_read_ = now;
        return;
    }
    if (!fleet_.store_responsive && now - fleet_.store_lost_at >= detail::min_outage) {
        record_registry_outage(outage_, now);
        must_list_ = true;
    }
    if (!error && core_.state.registry.revision != 0) {
        const auto era = store_era_of(items.revision);
        const auto known_era = store_era_of(core_.state.registry.revision);
        if (era < known_era) {
            next_read_ = now;  // An answer from before the store came back older.
            return;
        }
        if (era > known_era) {
            on_new_era(era, now);
        }
    }
    record_store_call(core_, fleet_, !error, "read targets");
    if (error) {
        pause_ = detail::next_pause(pause_);
        next_read_ =
            now + (must_list_ ? std::max(pause_, detail::outage_listing_interval) : pause_);
        return;
    }
    record_store_era(core_, fleet_, items.revision);
    pause_ = {};
    if (kind == read_kind::changes && must_list_) {
        next_read_ = now;
        return;
    }
    // Until then the store may lack what it had acknowledged before it came back older.
    if (began_at >= rewritten_at_) {
        core_.state.registry_known_at = std::max(core_.state.registry_known_at, began_at);
    }
    if (kind == read_kind::listing) {
        apply_listing(items, now);
    } else if (items.revision >= core_.state.registry.revision) {
        apply_changes(items);
    }
}

void registry_reader::on_new_era(std::uint64_t era, boot_time now) {
    core_.log.write_always("registry_came_back_older", {{"era", static_cast<std::int64_t>(era)}});
    record_registry_outage(outage_, now);
    must_list_ = true;
    rewritten_at_ = now + entry_rewrite_time;
}

std::optional<target_entry> registry_reader::decode(const store_item& item) {
    const auto id = std::string_view(item.key).substr(core_.platform.keys.targets.size());
    auto entry = core_.platform.decode_target(id, item.value);
    if (!entry) {
        count(core_.metrics, "registry_entries_ignored");
        // Each listing returns the entry again.
        if (item.revision > core_.state.registry.revision) {
            core_.log.write("registry_entry_ignored",
                            {{"target", id},
                             {"bytes", static_cast<std::int64_t>(item.value.size())},
                             {"revision", static_cast<std::int64_t>(item.revision)}});
        }
        return entry;
    }
    set_cold_deadline(*entry, core_.now());
    return entry;
}

void registry_reader::apply_listing(const store_items& items, boot_time now) {
    registry_snapshot reading;
    reading.revision = items.revision;
    reading.evacuated_domains = core_.state.registry.evacuated_domains;
    for (const auto& item : items.items) {
        if (auto entry = decode(item)) {
            reading.targets.push_back(std::move(*entry));
        }
    }
    next_listing_ = now + detail::listing_interval;
    // Until the end of the grace period, only a listing shows which targets are missing.
    must_list_ = now < outage_.keep_missing_until;
    if (must_list_) {
        next_read_ = now + detail::outage_listing_interval;
    }
    apply_reading(merge_snapshot(core_.state.registry, reading, outage_, now));
}

void registry_reader::apply_changes(const store_items& items) {
    if (items.items.empty()) {
        core_.state.registry.revision = items.revision;
        return;
    }
    auto next = core_.state.registry;
    next.revision = items.revision;
    for (const auto& item : items.items) {
        const bool is_deleted = item.revision == 0;
        auto entry = is_deleted ? std::nullopt : decode(item);
        if (entry) {
            auto id = entry->id;
            next.targets.insert_or_assign(std::move(id), std::move(*entry));
        } else {
            next.targets.erase(item.key.substr(core_.platform.keys.targets.size()));
        }
    }
    apply_reading(without_older_entries(core_.state.registry, std::move(next), core_.now()));
}

void registry_reader::apply_reading(const registry_state& next) {
    if (fleet_.leading) {
        leader_registry_.reset();
    } else if (!leader_registry_) {
        leader_registry_ = core_.state.registry;
    }
    apply(next);
}

void registry_reader::apply_from_leader(const registry_update& update) {
    const auto& own = core_.state.registry;
    const auto now = core_.now();
    auto received = update;
    for (auto& entry : received.entries) {
        set_cold_deadline(entry, now);
    }
    auto next = applied(leader_registry_ ? *leader_registry_ : own, received);
    next.evacuated_domains = own.evacuated_domains;
    forget_gone_targets(next, now);
    if (own.revision != 0 && store_era_of(next.revision) > store_era_of(own.revision)) {
        on_new_era(store_era_of(next.revision), now);
    }
    if (next.revision < own.revision) {
        leader_registry_ = std::move(next);
        if (store_era_of(leader_registry_->revision) < store_era_of(own.revision)) {
            apply(with_news_from_before(own, *leader_registry_, now));
        }
        return;
    }
    const auto used = without_older_entries(own, next, now);
    if (used.targets == next.targets) {
        leader_registry_.reset();
    } else {
        leader_registry_ = std::move(next);
    }
    apply(used);
}

void registry_reader::apply(const registry_state& next) {
    const auto& previous = core_.state.registry;
    const bool changed = differs_for_routing(previous, next);
    const auto revision = static_cast<std::int64_t>(next.revision);
    for (const auto& [id, entry] : next.targets) {
        const auto found = previous.targets.find(id);
        if (found == previous.targets.end() || found->second.leaving != entry.leaving ||
            found->second.started_unix_ms != entry.started_unix_ms ||
            (found->second.cold_until < entry.cold_until &&
             !is_same_for_routing(found->second, entry))) {
            core_.log.write("target_state", {{"target", id},
                                             {"service", entry.service},
                                             {"leaving", std::int64_t{entry.leaving}},
                                             {"cold_ms", std::int64_t{entry.remaining_cold_ms}},
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
