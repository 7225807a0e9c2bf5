#include "mimosavalve/config/process_settings.hpp"

#include <array>
#include <filesystem>
#include <iterator>

#include "mimosavalve/config/settings_reader.hpp"

namespace mimosavalve::config {

namespace detail {

using std::chrono::milliseconds;

constexpr std::array log_levels{
    choice<log_level>{"debug", log_level::debug},
    choice<log_level>{"info", log_level::info},
    choice<log_level>{"warning", log_level::warning},
    choice<log_level>{"error", log_level::error},
};
constexpr std::array log_formats{
    choice<log_format>{"text", log_format::text},
    choice<log_format>{"json", log_format::json},
};

constexpr std::uint32_t most_traffic_threads = 256;
constexpr milliseconds shortest_interval{10};
constexpr milliseconds longest_interval{60'000};

// A lease must outlive some lost renewals, or one lost message would stop the traffic.
constexpr int renewals_per_lease = 3;

bool ends_with(std::string_view text, std::string_view end) {
    return text.size() >= end.size() && text.substr(text.size() - end.size()) == end;
}

bool has_fixed_port(std::string_view endpoint) {
    return !ends_with(endpoint, ":0");
}

bool is_wildcard(std::string_view endpoint) {
    return endpoint.substr(0, endpoint.find(':')) == "0.0.0.0";
}

// An address of another process: it must name a host and a port.
void read_remote(settings_section& section, std::string_view name, presence need,
                 std::string& out) {
    section.read_endpoint(name, need, out);
    if (!out.empty() && (!has_fixed_port(out) || is_wildcard(out))) {
        section.reject(name, "an address that can be connected to, not 0.0.0.0 and not port 0");
    }
}

void read_listeners(settings_section& section, process_settings& out) {
    section.read_endpoint("callers", presence::required, out.callers);
    section.read_endpoint("peers", presence::required, out.peers);
    section.read_endpoint("admin", presence::required, out.admin);
    const auto clash = [](const std::string& left, const std::string& right) {
        return !left.empty() && left == right && has_fixed_port(left);
    };
    if (clash(out.peers, out.callers)) {
        section.reject("peers", "an address other than that of callers");
    }
    if (clash(out.admin, out.callers) || clash(out.admin, out.peers)) {
        section.reject("admin", "an address other than those of callers and peers");
    }
    read_remote(section, "advertised_peer", presence::optional, out.advertised_peer);
    if (out.advertised_peer.empty() && is_wildcard(out.peers) && !section.has("advertised_peer")) {
        section.reject("peers", "an address of this host, or a field advertised_peer with one");
    }
}

void read_log(settings_section section, log_settings& out) {
    section.read_choice<log_level>("level", presence::optional, log_levels, out.level);
    section.read_choice<log_format>("format", presence::optional, log_formats, out.format);
    section.close();
}

void read_timing(settings_section section, timing_settings& out) {
    const auto read = [&](std::string_view name, milliseconds& into) {
        section.read_milliseconds(name, presence::optional, shortest_interval, longest_interval,
                                  into);
    };
    read("heartbeat_ms", out.heartbeat);
    read("lease_window_ms", out.lease_window);
    read("start_window_ms", out.start_window);
    read("store_lease_ms", out.store_lease);
    section.close();
    const auto least = out.heartbeat * renewals_per_lease;
    const auto rule = "at least 3 times heartbeat_ms, " + std::to_string(least.count());
    if (out.lease_window < least) {
        section.reject("lease_window_ms", rule);
    }
    if (out.store_lease < least) {
        section.reject("store_lease_ms", rule);
    }
    if (out.start_window >= out.lease_window) {
        section.reject("start_window_ms",
                       "less than lease_window_ms, " + std::to_string(out.lease_window.count()));
    }
}

}  // namespace detail

std::optional<process_settings> read_process_settings(std::string_view yaml, std::string_view file,
                                                      std::vector<settings_fault>& faults) {
    settings_context context{std::string(file), {}, {}};
    auto section = open_settings(context, yaml);
    process_settings out;
    section.read_name("host", presence::required, out.host);
    section.read_name("region", presence::required, out.region);
    section.read_name("failure_domain", presence::required, out.failure_domain);
    detail::read_listeners(section, out);
    detail::read_remote(section, "store", presence::required, out.store);
    detail::read_remote(section, "host_list", presence::required, out.host_list);
    section.read_integer<std::uint32_t>("traffic_threads", presence::optional, 1,
                                        detail::most_traffic_threads, out.traffic_threads);
    detail::read_log(section.section("log", presence::optional), out.log);
    detail::read_timing(section.section("timing", presence::optional), out.timing);
    section.read_text("initial_config", presence::optional, out.initial_config);
    section.close();
    if (out.advertised_peer.empty()) {
        out.advertised_peer = out.peers;
    }
    if (!out.initial_config.empty()) {
        const auto folder = std::filesystem::path(context.file).parent_path();
        out.initial_config = (folder / out.initial_config).string();
    }
    const bool valid = context.faults.empty();
    faults.insert(faults.end(), std::make_move_iterator(context.faults.begin()),
                  std::make_move_iterator(context.faults.end()));
    return valid ? std::optional(std::move(out)) : std::nullopt;
}

std::optional<process_settings> load_process_settings(const std::string& path,
                                                      std::vector<settings_fault>& faults) {
    const auto text = load_settings_text(path, faults);
    return text ? read_process_settings(*text, path, faults) : std::nullopt;
}

}  // namespace mimosavalve::config
