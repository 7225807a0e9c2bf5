#include <algorithm>
#include <array>
#include <iterator>

#include "config/fleet_limits.hpp"
#include "mimosavalve/config/fleet_config_check.hpp"
#include "mimosavalve/config/fleet_config_codec.hpp"
#include "mimosavalve/config/settings_reader.hpp"

namespace mimosavalve::config {

namespace detail {

using std::chrono::milliseconds;

constexpr std::array priorities{
    choice<traffic_class>{"status", traffic_class::status},
    choice<traffic_class>{"order", traffic_class::order},
    choice<traffic_class>{"upload", traffic_class::upload},
};

region_config read_region(settings_section section) {
    region_config out;
    section.read_name("name", presence::required, out.name);
    section.read_names("failure_domains", presence::required, out.failure_domains);
    section.close();
    return out;
}

service_config read_service(settings_section section) {
    service_config out;
    section.read_name("name", presence::required, out.name);
    section.read_flag("keyed", presence::optional, out.keyed);
    section.read_integer<std::uint32_t>("slots_per_region", presence::optional, 1,
                                        most_slots_per_region, out.slots_per_region);
    if (!out.keyed && section.has("slots_per_region")) {
        section.reject("slots_per_region", "only for a keyed service");
    }
    section.read_flag("checks_fence", presence::optional, out.checks_fence);
    section.close();
    return out;
}

route_config read_route(settings_section section) {
    route_config out;
    section.read_name("name", presence::required, out.name);
    section.read_name("service", presence::required, out.service);
    section.read_choice<traffic_class>("priority", presence::optional, priorities, out.priority);
    section.read_flag("non_idempotent", presence::optional, out.non_idempotent);
    section.read_milliseconds("timeout_ms", presence::optional, milliseconds(1),
                              milliseconds(longest_timeout_ms), out.timeout);
    section.read_integer<std::uint64_t>("max_body_bytes", presence::optional, 0, largest_body_bytes,
                                        out.max_body_bytes);
    section.close();
    return out;
}

account_config read_account(settings_section section) {
    account_config out;
    section.read_name("name", presence::required, out.name);
    section.read_names("home_regions", presence::optional, out.home_regions);
    section.read_number("requests_per_second", presence::optional, 0, largest_account_rate,
                        out.requests_per_second);
    section.close();
    return out;
}

// A value that could not be read is not reported a second time by the cross-checks.
bool has_fault(const settings_context& context, std::string_view field) {
    return std::any_of(context.faults.begin(), context.faults.end(), [&](const auto& fault) {
        return !fault.field.empty() && field.starts_with(fault.field);
    });
}

void add_inconsistencies(const fleet_config& config, settings_context& context) {
    for (auto& each : inconsistencies_of(config)) {
        if (!has_fault(context, each.field)) {
            context.reject(std::move(each.field), std::move(each.value), std::move(each.allowed));
        }
    }
}

template <typename Item, typename Read>
void read_list(settings_section& section, std::string_view name, presence need,
               std::vector<Item>& out, Read read) {
    for (auto& each : section.sections(name, need)) {
        out.push_back(read(std::move(each)));
    }
}

}  // namespace detail

std::optional<fleet_config> read_fleet_config(std::string_view yaml, std::string_view file,
                                              std::vector<settings_fault>& faults) {
    settings_context context{std::string(file), {}, {}};
    auto section = open_settings(context, yaml);
    const bool readable = context.faults.empty();
    fleet_config out;
    out.version = 1;
    section.read_integer<std::uint32_t>("shards_per_region", presence::optional, 1,
                                        most_shards_per_region, out.shards_per_region);
    detail::read_list(section, "regions", presence::required, out.regions, detail::read_region);
    detail::read_list(section, "services", presence::required, out.services, detail::read_service);
    detail::read_list(section, "routes", presence::required, out.routes, detail::read_route);
    detail::read_list(section, "accounts", presence::optional, out.accounts, detail::read_account);
    section.close();
    if (readable) {
        detail::add_inconsistencies(out, context);
    }
    const bool valid = context.faults.empty();
    faults.insert(faults.end(), std::make_move_iterator(context.faults.begin()),
                  std::make_move_iterator(context.faults.end()));
    return valid ? std::optional(std::move(out)) : std::nullopt;
}

std::optional<fleet_config> load_fleet_config(const std::string& path,
                                              std::vector<settings_fault>& faults) {
    const auto text = load_settings_text(path, faults);
    return text ? read_fleet_config(*text, path, faults) : std::nullopt;
}

}  // namespace mimosavalve::config
