#include "operator_items.hpp"

#include <utility>

namespace mimosavalve::gateway {

namespace detail {

// A configuration must be in force within 2.5 s (see the platform's documentation of rules), also
// when the watch missed it.
constexpr milliseconds check_interval{900};
// Time after a return of the store from an older copy within which operators write their items
// again, as targets do.
constexpr milliseconds item_rewrite_time = entry_rewrite_time;

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
    follower_.start(core_.platform.keys.operators);
}

void operator_items::check_when_due(boot_time now) {
    if (now >= next_check_) {
        next_check_ = now + detail::check_interval;
        follower_.check();
    }
}

void operator_items::apply_from_leader(const std::string& config_text, std::uint64_t revision,
                                       const std::set<std::string>& evacuated) {
    if (!config_text.empty()) {
        apply_config(config_text, 0);
    }
    note_era(revision);
    if (revision > follower_.revision() && core_.now() >= rewritten_at_) {
        evacuated_ = evacuated;
    }
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
            follower_.check();
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
    if (!problem.empty()) {
        core_.log.write_always(
            "config_rejected",
            {{"problem", problem},
             {"revision", static_cast<std::int64_t>(revision)},
             {"in_force", static_cast<std::int64_t>(core_.state.config.version)}});
        count(core_.metrics, "configs_rejected");
        return;
    }
    core_.state.config = std::move(*config);
    core_.state.routes = route_index(core_.state.config);
    config_text_ = text;
    core_.log.write_always(
        "config_in_force",
        {{"version", static_cast<std::int64_t>(core_.state.config.version)},
         {"revision", static_cast<std::int64_t>(revision)},
         {"from", revision == 0 ? "leader" : "store"},
         {"bytes", static_cast<std::int64_t>(config_text_.size())},
         {"routes", static_cast<std::int64_t>(core_.state.config.routes.size())}});
    count(core_.metrics, "configs_applied");
    handlers_.config_changed();
}

}  // namespace mimosavalve::gateway
