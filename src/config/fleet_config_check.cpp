#include "mimosavalve/config/fleet_config_check.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>

#include "config/fleet_limits.hpp"
#include "mimosavalve/config/names.hpp"

namespace mimosavalve::config {

namespace detail {

using name_set = std::set<std::string, std::less<>>;

class checker {
public:
    explicit checker(const fleet_config& config) : config_(config) {}

    std::vector<inconsistency> run() {
        check_range("shards_per_region", config_.shards_per_region, 1, most_shards_per_region);
        check_regions();
        check_services();
        check_routes();
        check_accounts();
        check_removed_domains();
        check_unique("drained_targets", config_.drained_targets);
        check_rulings();
        check_applied();
        return std::move(found_);
    }

private:
    void add(std::string field, std::string value, std::string allowed) {
        found_.push_back({std::move(field), std::move(value), std::move(allowed)});
    }

    static std::string item(std::string_view list, std::size_t index) {
        return std::string(list) + "[" + std::to_string(index) + "]";
    }

    void check_range(const std::string& field, std::uint64_t value, std::uint64_t least,
                     std::uint64_t most) {
        if (value < least || value > most) {
            add(field, std::to_string(value),
                "an integer from " + std::to_string(least) + " to " + std::to_string(most));
        }
    }

    void check_name(const std::string& field, const std::string& name, name_set& names) {
        if (!is_name(name)) {
            add(field, name, std::string(name_rule));
        } else if (!names.insert(name).second) {
            add(field, name, "a name that is not used before");
        }
    }

    void check_known(const std::string& field, const std::string& name, const name_set& known,
                     std::string_view what) {
        if (known.count(name) == 0) {
            std::string names;
            for (const auto& each : known) {
                names += (names.empty() ? "" : ", ") + each;
            }
            add(field, name, "a known " + std::string(what) + ": " + names);
        }
    }

    void check_unique(std::string_view field, const std::vector<std::string>& names) {
        name_set seen;
        for (std::size_t index = 0; index < names.size(); ++index) {
            check_name(item(field, index), names[index], seen);
        }
    }

    void check_regions() {
        for (std::size_t index = 0; index < config_.regions.size(); ++index) {
            const auto& region = config_.regions[index];
            const auto path = item("regions", index);
            check_name(path + ".name", region.name, regions_);
            // The command language uses this word for "not bound to regions".
            if (region.name == "any") {
                add(path + ".name", region.name, "a name other than any");
            }
            if (region.failure_domains.empty()) {
                add(path + ".failure_domains", "", "at least one failure domain");
            }
            for (std::size_t each = 0; each < region.failure_domains.size(); ++each) {
                check_name(item(path + ".failure_domains", each), region.failure_domains[each],
                           domains_);
            }
        }
        if (config_.regions.empty()) {
            add("regions", "", "at least one region");
        }
    }

    void check_services() {
        for (std::size_t index = 0; index < config_.services.size(); ++index) {
            const auto path = item("services", index);
            check_name(path + ".name", config_.services[index].name, services_);
            check_range(path + ".slots_per_region", config_.services[index].slots_per_region, 1,
                        most_slots_per_region);
        }
    }

    void check_routes() {
        name_set names;
        for (std::size_t index = 0; index < config_.routes.size(); ++index) {
            const auto& route = config_.routes[index];
            const auto path = item("routes", index);
            check_name(path + ".name", route.name, names);
            check_known(path + ".service", route.service, services_, "service");
            const auto timeout = route.timeout.count();
            check_range(path + ".timeout_ms", timeout < 0 ? 0 : static_cast<std::uint64_t>(timeout),
                        1, longest_timeout_ms);
            check_range(path + ".max_body_bytes", route.max_body_bytes, 0, largest_body_bytes);
        }
    }

    void check_accounts() {
        name_set names;
        for (std::size_t index = 0; index < config_.accounts.size(); ++index) {
            const auto& account = config_.accounts[index];
            const auto path = item("accounts", index);
            check_name(path + ".name", account.name, names);
            check_unique(path + ".home_regions", account.home_regions);
            for (std::size_t each = 0; each < account.home_regions.size(); ++each) {
                check_known(item(path + ".home_regions", each), account.home_regions[each],
                            regions_, "region");
            }
            const auto rate = account.requests_per_second;
            if (!std::isfinite(rate) || rate < 0 || rate > largest_account_rate) {
                add(path + ".requests_per_second", std::to_string(rate),
                    "a number from 0 (not limited) to 1e9");
            }
        }
    }

    void check_removed_domains() {
        check_unique("removed_domains", config_.removed_domains);
        for (std::size_t index = 0; index < config_.removed_domains.size(); ++index) {
            check_known(item("removed_domains", index), config_.removed_domains[index], domains_,
                        "failure domain");
        }
    }

    void check_rulings() {
        name_set scopes;
        for (std::size_t index = 0; index < config_.rulings.size(); ++index) {
            const auto& each = config_.rulings[index];
            const auto path = item("rulings", index);
            if (!scopes.insert(each.scope).second) {
                add(path + ".scope", each.scope, "one ruling for each scope");
            }
            check_range(path + ".since_version", each.since_version, 1, config_.version);
        }
    }

    void check_applied() {
        name_set ids;
        std::uint64_t previous = 0;
        for (std::size_t index = 0; index < config_.applied.size(); ++index) {
            const auto& each = config_.applied[index];
            const auto path = item("applied", index);
            check_name(path + ".id", each.id, ids);
            if (each.version <= previous || each.version > config_.version) {
                add(path + ".version", std::to_string(each.version),
                    "rising versions up to that of the configuration");
            }
            previous = each.version;
        }
    }

    const fleet_config& config_;
    std::vector<inconsistency> found_;
    name_set regions_;
    name_set domains_;
    name_set services_;
};

}  // namespace detail

std::vector<inconsistency> inconsistencies_of(const fleet_config& config) {
    return detail::checker(config).run();
}

}  // namespace mimosavalve::config
