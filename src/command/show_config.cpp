#include <algorithm>

#include "command/show.hpp"
#include "mimosavalve/command/command.hpp"

namespace mimosavalve::command {

namespace detail {

std::string joined(const std::vector<std::string>& names, std::string_view none) {
    std::string text;
    for (const auto& name : names) {
        text += (text.empty() ? "" : ",") + name;
    }
    return text.empty() ? std::string(none) : text;
}

// The settings of an item as the command that sets them, without the words before them.
std::string settings_of(const change& what, const std::string& name) {
    const auto text = to_string(what);
    return text.substr(text.find(' ' + name + ' ') + name.size() + 2);
}

class config_table {
public:
    explicit config_table(const config::fleet_config& config) : config_(config) {
        out_.version = config.version;
        out_.message = "configuration version " + std::to_string(config.version);
        out_.content.columns = {"item", "name", "settings"};
    }

    void add(config_field field) {
        switch (field) {
            case config_field::all:
                add("shards", "per-region", std::to_string(config_.shards_per_region));
                for (const auto each :
                     {config_field::regions, config_field::services, config_field::routes,
                      config_field::accounts, config_field::domains, config_field::drains}) {
                    add(each);
                }
                break;
            case config_field::regions:
                add_regions();
                break;
            case config_field::services:
                add_services();
                break;
            case config_field::routes:
                add_routes();
                break;
            case config_field::accounts:
                add_accounts();
                break;
            case config_field::domains:
                add_names("domain", config_.removed_domains, "removed");
                break;
            case config_field::drains:
                add_names("target", config_.drained_targets, "drained");
                break;
            case config_field::commands:
                add_commands();
                break;
        }
    }

    command_result take() { return std::move(out_); }

private:
    void add(const std::string& item, const std::string& name, const std::string& settings) {
        out_.content.rows.push_back({item, name, settings});
    }

    void add_names(const std::string& item, const std::vector<std::string>& names,
                   const std::string& settings) {
        for (const auto& name : names) {
            add(item, name, settings);
        }
    }

    void add_regions() {
        for (const auto& each : config_.regions) {
            add("region", each.name, "failure-domains " + joined(each.failure_domains, "none"));
        }
    }

    void add_services() {
        for (const auto& each : config_.services) {
            const set_service what{each.name, each.keyed, each.slots_per_region, each.checks_fence};
            add("service", each.name, settings_of(what, each.name));
        }
    }

    void add_routes() {
        for (const auto& each : config_.routes) {
            const set_route what{each.name,           each.service, each.priority,
                                 each.non_idempotent, each.timeout, each.max_body_bytes};
            add("route", each.name, settings_of(what, each.name));
        }
    }

    void add_accounts() {
        for (const auto& each : config_.accounts) {
            const set_account what{each.name, each.home_regions, each.requests_per_second};
            add("account", each.name,
                settings_of(what, each.name) + (each.home_moving ? " (not activated)" : ""));
        }
    }

    void add_commands() {
        out_.content.columns = {"version", "id", "command"};
        for (const auto& each : config_.applied) {
            out_.content.rows.push_back({each.version, each.id, each.text});
        }
    }

    const config::fleet_config& config_;
    command_result out_;
};

}  // namespace detail

command_result answer(const config::fleet_config& config, const show_config& asked) {
    detail::config_table table(config);
    table.add(asked.field);
    return table.take();
}

command_result answer(const config::fleet_config& config, const show_account& asked) {
    const auto found = std::find_if(config.accounts.begin(), config.accounts.end(),
                                    [&](const auto& each) { return each.name == asked.account; });
    const bool listed = found != config.accounts.end();
    const auto account = listed ? *found : config::account_config{asked.account, {}, 0, false};
    command_result out;
    out.version = config.version;
    out.content.columns = {"account", "listed", "home", "regions", "activated", "limit"};
    out.content.rows.push_back(
        {account.name, listed, detail::joined(account.home_regions, "any"),
         detail::joined(regions_of(config, account.name), "none"), !account.home_moving,
         account.requests_per_second == 0 ? cell(std::string("none"))
                                          : cell(account.requests_per_second)});
    return out;
}

command_result show_rulings(const config::fleet_config& config) {
    command_result out;
    out.version = config.version;
    out.content.columns = {"scope", "upheld", "since_version"};
    for (const auto& each : config.rulings) {
        out.content.rows.push_back({each.scope, each.upheld, each.since_version});
    }
    return out;
}

std::vector<std::string> regions_of(const config::fleet_config& config,
                                    const std::string& account) {
    for (const auto& each : config.accounts) {
        if (each.name == account && !each.home_regions.empty()) {
            return each.home_regions;
        }
    }
    std::vector<std::string> all;
    all.reserve(config.regions.size());
    for (const auto& region : config.regions) {
        all.push_back(region.name);
    }
    return all;
}

command_result refused(std::string message) {
    command_result out;
    out.how = outcome::refused;
    out.message = std::move(message);
    return out;
}

}  // namespace mimosavalve::command
