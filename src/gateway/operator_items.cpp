#include "operator_items.hpp"

#include <utility>

namespace mimosavalve::gateway {

namespace detail {

// Interval of the listings after the store has come back older.
constexpr milliseconds check_interval{900};
// Time after a return of the store from an older copy within which operators write their items
// again, as targets do.
constexpr milliseconds item_rewrite_time = entry_rewrite_time;
// A watch may miss a change while the store discards its history, so that the next one has to begin
// soon: a configuration must be in force within 2.5 s (see the platform's documentation of rules).
// The watch of a router that follows a leader again must end soon as well.
constexpr milliseconds watch_time{900};

}  // namespace detail

operator_items::operator_items(router_core& core, fleet_state& fleet, callbacks handlers)
    : core_(core),
      handlers_(std::move(handlers)),
      follower_(core, fleet, "operators",
                {[this](const store_items& items) { apply_all(items); },
                 [this](const store_items& items) {
                     for (const auto& item : items.items) {
                         apply_item(item);
                     }
                     handlers_.evacuations_changed();
                 }}) {}

void operator_items::start() {
    follower_.set_watch_time(detail::watch_time);
    follower_.start(core_.platform.keys.operators);
}

void operator_items::set_reading(bool on) {
    is_reading_ = on;
    follower_.set_following(on);
}

void operator_items::apply_from_leader(const sync_reply& reply) {
    if (reply.config) {
        apply_update(*reply.config, "leader");
    }
    const auto revision = reply.operators_revision;
    note_era(revision);
    if (revision <= follower_.revision() || core_.now() < rewritten_at_) {
        return;
    }
    evacuated_ = reply.evacuated_domains;
    if (core_.state.config.version >= reply.config_version) {
        follower_.advance(revision);
        must_list_ = false;
    }
}

void operator_items::apply_update(const config_update& update, std::string_view from) {
    const auto version = core_.state.config.version;
    if (update.version <= version) {
        return;
    }
    auto next = applied(core_.state.config, update);
    // Changes since a version that a router has meanwhile replaced are of no use to it.
    const auto problem = next ? problem_of(*next, version) : std::string();
    if (next && problem.empty()) {
        apply_valid(std::move(*next), 0, from);
    } else if (next) {
        reject(problem, 0, from);
    }
}

config_update operator_items::config_since(std::uint64_t version) const {
    auto changes = history_.since(version);
    return changes ? std::move(*changes) : whole_update(core_.state.config);
}

void operator_items::note_era(std::uint64_t revision) {
    const auto era = store_era_of(revision);
    if (revision == 0 || (known_era_ && era <= *known_era_)) {
        return;
    }
    if (known_era_) {
        core_.log.write_always("operators_came_back_older",
                               {{"era", static_cast<std::int64_t>(era)}});
        rewritten_at_ = core_.now() + detail::item_rewrite_time;
        const bool is_waiting = std::exchange(must_list_, true);
        if (!is_waiting) {
            list_when_rewritten(detail::item_rewrite_time);
        }
    }
    known_era_ = era;
}

void operator_items::list_when_rewritten(milliseconds pause) {
    run_after(core_.context, pause, life_, [this] {
        if (must_list_) {
            if (is_reading_) {
                follower_.check();
            }
            list_when_rewritten(detail::check_interval);
        }
    });
}

void operator_items::apply_all(const store_items& items) {
    note_era(items.revision);
    const bool is_rewritten = core_.now() >= rewritten_at_;
    const auto& prefix = core_.platform.keys.evacuations;
    std::set<std::string> listed;
    for (const auto& item : items.items) {
        const bool is_evacuation = item.key.starts_with(prefix);
        if (is_evacuation) {
            listed.insert(item.key.substr(prefix.size()));
        }
        if (!is_evacuation || is_rewritten) {
            apply_item(item);
        }
    }
    if (!is_rewritten) {
        return;
    }
    must_list_ = false;
    for (const auto& domain : std::set<std::string>(evacuated_)) {
        set_evacuated(domain, listed.contains(domain));
    }
    handlers_.evacuations_changed();
}

void operator_items::apply_item(const store_item& item) {
    const auto& keys = core_.platform.keys;
    if (item.key == keys.config && item.revision != 0) {
        apply_config(item.value, item.revision);
    } else if (item.key.starts_with(keys.evacuations)) {
        set_evacuated(item.key.substr(keys.evacuations.size()), item.revision != 0);
    }
}

void operator_items::set_evacuated(const std::string& domain, bool on) {
    if (on == evacuated_.contains(domain)) {
        return;
    }
    core_.log.write_always("evacuation", {{"failure_domain", domain}, {"on", std::int64_t{on}}});
    if (on) {
        evacuated_.insert(domain);
    } else {
        evacuated_.erase(domain);
    }
}

void operator_items::apply_config(const std::string& text, std::uint64_t revision) {
    if (revision == decoded_revision_) {
        return;  // Listed again.
    }
    decoded_revision_ = revision;
    std::string problem;
    auto config = core_.platform.decode_config(text, problem);
    if (config && config->version == core_.state.config.version) {
        return;
    }
    if (config && config->version < core_.state.config.version) {
        // A store that came back older returns it with every listing until it is written again.
        if (store_era_of(revision) >= next_older_config_era_) {
            next_older_config_era_ = store_era_of(revision) + 1;
            core_.log.write_always(
                "config_older",
                {{"version", static_cast<std::int64_t>(config->version)},
                 {"revision", static_cast<std::int64_t>(revision)},
                 {"in_force", static_cast<std::int64_t>(core_.state.config.version)}});
        }
        return;
    }
    if (config) {
        problem = problem_of(*config, core_.state.config.version);
    }
    if (problem.empty()) {
        apply_valid(std::move(*config), revision, "store");
    } else {
        reject(problem, revision, "store");
    }
}

void operator_items::apply_valid(operator_config config, std::uint64_t revision,
                                 std::string_view from) {
    auto change = difference(core_.state.config, config);
    const auto changed = change.routes.size() + change.removed.size();
    history_.add(std::move(change));
    core_.state.config = std::move(config);
    core_.state.routes = route_index(core_.state.config);
    core_.log.write_always(
        "config_in_force",
        {{"version", static_cast<std::int64_t>(core_.state.config.version)},
         {"revision", static_cast<std::int64_t>(revision)},
         {"from", from},
         {"changed_routes", static_cast<std::int64_t>(changed)},
         {"routes", static_cast<std::int64_t>(core_.state.config.routes.size())}});
    count(core_.metrics, "configs_applied");
    handlers_.config_changed();
}

void operator_items::reject(const std::string& problem, std::uint64_t revision,
                            std::string_view from) {
    core_.log.write_always("config_rejected",
                           {{"problem", problem},
                            {"revision", static_cast<std::int64_t>(revision)},
                            {"from", from},
                            {"in_force", static_cast<std::int64_t>(core_.state.config.version)}});
    count(core_.metrics, "configs_rejected");
}

}  // namespace mimosavalve::gateway
