#include "mimosavalve/standins/target_settings.hpp"

#include <array>
#include <string_view>

namespace mimosavalve::standins {

namespace detail {

constexpr std::uint64_t longest_ms = 3'600'000;

work_distribution distribution_named(std::string_view name) {
    if (name == "constant") {
        return work_distribution::constant;
    }
    return name == "exponential" ? work_distribution::exponential : work_distribution::lognormal;
}

work_settings read_work(load::settings_reader reader) {
    constexpr std::array<std::string_view, 3> names{"constant", "exponential", "lognormal"};
    work_settings work;
    work.distribution = distribution_named(reader.one_of("distribution", names, "lognormal"));
    work.mean_ms = reader.real("mean_ms", work.mean_ms, 0, longest_ms);
    work.sigma = reader.real("sigma", work.sigma, 0, 5);
    work.seed = reader.whole("seed", work.seed, 0, UINT64_MAX);
    reader.reject_unknown_fields();
    return work;
}

cold_settings read_cold(load::settings_reader reader) {
    cold_settings cold;
    cold.requests =
        static_cast<std::uint32_t>(reader.whole("requests", cold.requests, 0, 1'000'000));
    cold.factor = reader.real("factor", cold.factor, 1, 1000);
    cold.slots = static_cast<std::uint32_t>(reader.whole("slots", cold.slots, 1, 10'000));
    cold.collapse = reader.real("collapse", cold.collapse, 0, 100);
    reader.reject_unknown_fields();
    return cold;
}

std::chrono::milliseconds read_ms(load::settings_reader& reader, const std::string& field,
                                  std::chrono::milliseconds fallback) {
    const auto count =
        reader.whole(field, static_cast<std::uint64_t>(fallback.count()), 0, longest_ms);
    return std::chrono::milliseconds(count);
}

std::uint32_t read_count(load::settings_reader& reader, const std::string& field,
                         std::uint32_t fallback, std::uint32_t least) {
    return static_cast<std::uint32_t>(reader.whole(field, fallback, least, 100'000));
}

}  // namespace detail

target_settings read_target_settings(const std::string& file,
                                     std::span<const load::settings_override> overrides,
                                     std::vector<load::settings_problem>& problems) {
    const auto map = load::load_settings_file(file, overrides, problems);
    load::settings_reader reader(file, map, "", problems);
    target_settings settings;
    settings.id = reader.required_text("id");
    settings.listen = reader.text("listen", settings.listen);
    settings.port_file = reader.text("port_file", "");
    settings.service = reader.required_text("service");
    settings.region = reader.required_text("region");
    settings.failure_domain = reader.required_text("failure_domain");
    settings.checks_fence = reader.flag("checks_fence", settings.checks_fence);
    settings.slots = detail::read_count(reader, "slots", settings.slots, 1);
    settings.connections = detail::read_count(reader, "connections", settings.connections, 1);
    settings.queue = detail::read_count(reader, "queue", settings.queue, 0);
    settings.probe_time = detail::read_ms(reader, "probe_ms", settings.probe_time);
    settings.load_report_lag =
        detail::read_ms(reader, "load_report_lag_ms", settings.load_report_lag);
    settings.leave_time = detail::read_ms(reader, "leave_ms", settings.leave_time);
    settings.max_value_bytes =
        reader.whole("max_value_bytes", settings.max_value_bytes, 0, 16U << 20U);
    settings.history_file = reader.text("history_file", "");
    settings.work = detail::read_work(reader.nested("work"));
    settings.cold = detail::read_cold(reader.nested("cold"));
    reader.reject_unknown_fields();
    return settings;
}

}  // namespace mimosavalve::standins
