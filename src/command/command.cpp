#include "mimosavalve/command/command.hpp"

#include <nlohmann/json.hpp>

#include "mimosavalve/config/fleet_config_codec.hpp"

namespace mimosavalve::command {

namespace detail {

std::string yes_or_no(bool value) {
    return value ? "yes" : "no";
}

std::string joined(const std::vector<std::string>& names) {
    std::string text;
    for (const auto& name : names) {
        text += (text.empty() ? "" : ",") + name;
    }
    return text.empty() ? "any" : text;
}

std::string rate(double value) {
    return value == 0 ? "none" : nlohmann::json(value).dump();
}

struct text_visitor {
    std::string operator()(const set_route& each) const {
        auto text = "set route " + each.name;
        if (each.service) {
            text += " service " + *each.service;
        }
        if (each.priority) {
            text += " priority " + std::string(config::to_string(*each.priority));
        }
        if (each.non_idempotent) {
            text += " non-idempotent " + yes_or_no(*each.non_idempotent);
        }
        if (each.timeout) {
            text += " timeout " + std::to_string(each.timeout->count()) + "ms";
        }
        if (each.max_body_bytes) {
            text += " body " + std::to_string(*each.max_body_bytes);
        }
        return text;
    }

    std::string operator()(const set_service& each) const {
        auto text = "set service " + each.name;
        if (each.keyed) {
            text += " keyed " + yes_or_no(*each.keyed);
        }
        if (each.slots_per_region) {
            text += " slots " + std::to_string(*each.slots_per_region);
        }
        if (each.checks_fence) {
            text += " checks-fence " + yes_or_no(*each.checks_fence);
        }
        return text;
    }

    std::string operator()(const set_account& each) const {
        auto text = "set account " + each.name;
        if (each.home_regions) {
            text += " home " + joined(*each.home_regions);
        }
        if (each.requests_per_second) {
            text += " limit " + rate(*each.requests_per_second);
        }
        return text;
    }

    std::string operator()(const activate_account& each) const {
        return "activate account " + each.name;
    }
    std::string operator()(const remove_route& each) const { return "remove route " + each.name; }
    std::string operator()(const remove_account& each) const {
        return "remove account " + each.name;
    }
    std::string operator()(const drain_target& each) const { return "drain target " + each.target; }
    std::string operator()(const undrain_target& each) const {
        return "undrain target " + each.target;
    }
    std::string operator()(const remove_domain& each) const {
        return "remove domain " + each.domain;
    }
    std::string operator()(const return_domain& each) const {
        return "return domain " + each.domain;
    }
    std::string operator()(const rule_scope& each) const {
        return "rule " + each.scope + " uphold " + each.upheld;
    }
};

}  // namespace detail

std::string to_string(const change& what) {
    return std::visit(detail::text_visitor{}, what);
}

}  // namespace mimosavalve::command
