#include "command/change_effect.hpp"

#include <algorithm>

#include "mimosavalve/config/fleet_config_check.hpp"

namespace mimosavalve::command {

namespace detail {

template <typename Item>
auto find_named(std::vector<Item>& items, const std::string& name) {
    return std::find_if(items.begin(), items.end(),
                        [&](const Item& each) { return each.name == name; });
}

refusal unknown(const std::string& text) {
    return {refusal_reason::unknown_name, text, 0, {}, {}};
}

refusal impossible(const std::string& text) {
    return {refusal_reason::impossible, text, 0, {}, {}};
}

template <typename Value>
void assign_if_given(Value& field, const std::optional<Value>& value) {
    if (value) {
        field = *value;
    }
}

bool insert_name(std::vector<std::string>& names, const std::string& name) {
    if (std::find(names.begin(), names.end(), name) != names.end()) {
        return false;
    }
    names.push_back(name);
    return true;
}

bool erase_name(std::vector<std::string>& names, const std::string& name) {
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end()) {
        return false;
    }
    names.erase(found);
    return true;
}

using effect = std::optional<refusal>;

class effect_visitor {
public:
    explicit effect_visitor(config::fleet_config& config) : config_(config) {}

    effect operator()(const set_route& each) const {
        auto found = find_named(config_.routes, each.name);
        if (found == config_.routes.end()) {
            if (!each.service) {
                return impossible("route " + each.name +
                                  " does not exist; a new one needs a "
                                  "service");
            }
            config_.routes.emplace_back().name = each.name;
            found = std::prev(config_.routes.end());
        }
        assign_if_given(found->service, each.service);
        assign_if_given(found->priority, each.priority);
        assign_if_given(found->non_idempotent, each.non_idempotent);
        assign_if_given(found->timeout, each.timeout);
        assign_if_given(found->max_body_bytes, each.max_body_bytes);
        return std::nullopt;
    }

    effect operator()(const set_service& each) const {
        auto found = find_named(config_.services, each.name);
        if (found == config_.services.end()) {
            config_.services.emplace_back().name = each.name;
            found = std::prev(config_.services.end());
        } else if (each.keyed.value_or(found->keyed) != found->keyed ||
                   each.slots_per_region.value_or(found->slots_per_region) !=
                       found->slots_per_region) {
            // Routers with the old and the new number of slots would choose different owners for
            // one key.
            return impossible("keyed and slots of the existing service " + each.name +
                              " cannot be changed");
        }
        assign_if_given(found->keyed, each.keyed);
        assign_if_given(found->slots_per_region, each.slots_per_region);
        assign_if_given(found->checks_fence, each.checks_fence);
        return std::nullopt;
    }

    effect operator()(const set_account& each) const {
        auto found = find_named(config_.accounts, each.name);
        if (found == config_.accounts.end()) {
            config_.accounts.emplace_back().name = each.name;
            found = std::prev(config_.accounts.end());
        }
        if (each.home_regions && *each.home_regions != found->home_regions) {
            found->home_regions = *each.home_regions;
            found->home_moving = true;
        }
        assign_if_given(found->requests_per_second, each.requests_per_second);
        return std::nullopt;
    }

    effect operator()(const activate_account& each) const {
        const auto found = find_named(config_.accounts, each.name);
        if (found == config_.accounts.end()) {
            return unknown("account " + each.name + " does not exist");
        }
        if (!found->home_moving) {
            return unknown("account " + each.name + " has no change of home regions to activate");
        }
        found->home_moving = false;
        return std::nullopt;
    }

    effect operator()(const remove_route& each) const {
        const auto found = find_named(config_.routes, each.name);
        if (found == config_.routes.end()) {
            return unknown("route " + each.name + " does not exist");
        }
        config_.routes.erase(found);
        return std::nullopt;
    }

    effect operator()(const remove_account& each) const {
        const auto found = find_named(config_.accounts, each.name);
        if (found == config_.accounts.end()) {
            return unknown("account " + each.name + " does not exist");
        }
        // An account that is not listed may be served anywhere, so this would be a change of home
        // regions without its two steps.
        if (!found->home_regions.empty() || found->home_moving) {
            return impossible("account " + each.name +
                              " is bound to home regions; set its home to any and activate that "
                              "first");
        }
        config_.accounts.erase(found);
        return std::nullopt;
    }

    effect operator()(const drain_target& each) const {
        insert_name(config_.drained_targets, each.target);
        return std::nullopt;
    }

    effect operator()(const undrain_target& each) const {
        if (!erase_name(config_.drained_targets, each.target)) {
            return unknown("target " + each.target + " is not drained");
        }
        return std::nullopt;
    }

    effect operator()(const remove_domain& each) const {
        insert_name(config_.removed_domains, each.domain);
        return std::nullopt;
    }

    effect operator()(const return_domain& each) const {
        if (!erase_name(config_.removed_domains, each.domain)) {
            return unknown("failure domain " + each.domain + " is not removed");
        }
        return std::nullopt;
    }

    effect operator()(const rule_scope& each) const {
        const auto found =
            std::find_if(config_.rulings.begin(), config_.rulings.end(),
                         [&](const auto& ruling) { return ruling.scope == each.scope; });
        const config::ruling made{each.scope, each.upheld, config_.version + 1};
        if (found == config_.rulings.end()) {
            config_.rulings.push_back(made);
        } else {
            *found = made;
        }
        return std::nullopt;
    }

private:
    config::fleet_config& config_;
};

}  // namespace detail

std::optional<refusal> apply_change(config::fleet_config& config, const change& what) {
    return std::visit(detail::effect_visitor(config), what);
}

}  // namespace mimosavalve::command
