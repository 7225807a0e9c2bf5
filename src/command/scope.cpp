#include "mimosavalve/command/scope.hpp"

#include <algorithm>
#include <array>
#include <type_traits>

#include "mimosavalve/config/names.hpp"

namespace mimosavalve::command {

namespace detail {

constexpr std::array<std::string_view, 5> scope_kinds{"route", "service", "account", "target",
                                                      "domain"};

// Collects the changed fields; the scope is the whole item unless there is exactly one.
class scope_builder {
public:
    scope_builder(std::string_view kind, const std::string& name)
        : path_(std::string(kind) + "/" + name) {}

    scope_builder& field(bool changed, std::string_view name) {
        if (changed) {
            ++fields_;
            field_ = name;
        }
        return *this;
    }

    [[nodiscard]] std::string scope() const {
        return fields_ == 1 ? path_ + "/" + std::string(field_) : path_;
    }

private:
    std::string path_;
    std::string_view field_;
    int fields_ = 0;
};

struct scope_visitor {
    std::string operator()(const set_route& each) const {
        return scope_builder("route", each.name)
            .field(each.service.has_value(), "service")
            .field(each.priority.has_value(), "priority")
            .field(each.non_idempotent.has_value(), "non-idempotent")
            .field(each.timeout.has_value(), "timeout")
            .field(each.max_body_bytes.has_value(), "body")
            .scope();
    }

    std::string operator()(const set_service& each) const {
        return scope_builder("service", each.name)
            .field(each.keyed.has_value(), "keyed")
            .field(each.slots_per_region.has_value(), "slots")
            .field(each.checks_fence.has_value(), "checks-fence")
            .scope();
    }

    std::string operator()(const set_account& each) const {
        return scope_builder("account", each.name)
            .field(each.home_regions.has_value(), "home")
            .field(each.requests_per_second.has_value(), "limit")
            .scope();
    }

    std::string operator()(const activate_account& each) const {
        return "account/" + each.name + "/home";
    }
    std::string operator()(const remove_route& each) const { return "route/" + each.name; }
    std::string operator()(const remove_account& each) const { return "account/" + each.name; }
    std::string operator()(const drain_target& each) const { return "target/" + each.target; }
    std::string operator()(const undrain_target& each) const { return "target/" + each.target; }
    std::string operator()(const remove_domain& each) const { return "domain/" + each.domain; }
    std::string operator()(const return_domain& each) const { return "domain/" + each.domain; }
    std::string operator()(const rule_scope& each) const { return each.scope; }
};

bool is_below(std::string_view scope, std::string_view above) {
    return scope.size() > above.size() && scope.starts_with(above) && scope[above.size()] == '/';
}

}  // namespace detail

std::string scope_of(const change& what) {
    return std::visit(detail::scope_visitor{}, what);
}

bool scopes_overlap(std::string_view left, std::string_view right) {
    return left == right || detail::is_below(left, right) || detail::is_below(right, left);
}

bool is_scope(std::string_view text) {
    const auto first = text.find('/');
    if (first == std::string_view::npos) {
        return false;
    }
    const auto kind = text.substr(0, first);
    const auto rest = text.substr(first + 1);
    const auto second = rest.find('/');
    const bool has_field = second != std::string_view::npos;
    return std::find(detail::scope_kinds.begin(), detail::scope_kinds.end(), kind) !=
               detail::scope_kinds.end() &&
           config::is_name(rest.substr(0, second)) &&
           (!has_field || config::is_name(rest.substr(second + 1)));
}

}  // namespace mimosavalve::command
