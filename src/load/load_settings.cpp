#include "mimosavalve/load/load_settings.hpp"

#include <array>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <string_view>

namespace mimosavalve::load {

namespace detail {

constexpr std::uint64_t longest_ms = 86'400'000;

bool is_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    boost::system::error_code error;
    boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
    std::uint16_t port = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    return !error && parsed.ec == std::errc() && parsed.ptr == end && port != 0;
}

std::chrono::milliseconds read_ms(settings_reader& reader, const std::string& field,
                                  std::chrono::milliseconds fallback) {
    const auto count =
        reader.whole(field, static_cast<std::uint64_t>(fallback.count()), 0, longest_ms);
    return std::chrono::milliseconds(count);
}

std::vector<router_address> read_routers(settings_reader& reader,
                                         std::span<const std::string> replacing,
                                         std::vector<settings_problem>& problems) {
    std::vector<router_address> routers;
    for (auto& item : reader.nested_list("routers")) {
        router_address router{item.required_text("address"), item.text("region", "")};
        if (!router.address.empty() && !is_address(router.address)) {
            item.reject("address", "\"ip:port\" with a port from 1 to 65535");
        }
        item.reject_unknown_fields();
        routers.push_back(std::move(router));
    }
    if (replacing.empty()) {
        if (routers.empty()) {
            reader.reject("routers", "at least one router");
        }
        return routers;
    }
    routers.clear();
    for (const auto& text : replacing) {
        const auto at = text.find('@');
        router_address router{text.substr(0, at),
                              at == std::string::npos ? "" : text.substr(at + 1)};
        if (!is_address(router.address)) {
            problems.push_back({"command line", 0, "router", text, "\"ip:port[@region]\""});
        }
        routers.push_back(std::move(router));
    }
    return routers;
}

key_settings read_keys(settings_reader reader) {
    key_settings keys;
    // The distribution keeps 8 bytes per key.
    keys.count = reader.whole("count", keys.count, 1, 5'000'000);
    keys.exponent = reader.real("exponent", keys.exponent, 0, 10);
    keys.hot_change = std::chrono::seconds(reader.whole("hot_change_s", 0, 0, 86'400));
    reader.reject_unknown_fields();
    return keys;
}

request_kind kind_named(std::string_view name) {
    if (name == "read") {
        return request_kind::read;
    }
    if (name == "order") {
        return request_kind::order;
    }
    return name == "payment" ? request_kind::payment : request_kind::upload;
}

mix_entry read_mix_entry(settings_reader& reader) {
    constexpr std::array<std::string_view, 4> kinds{"read", "order", "payment", "upload"};
    constexpr std::uint64_t small_body = 200;
    constexpr std::uint64_t most_body = std::uint64_t{64} << 20U;
    mix_entry entry;
    entry.kind = kind_named(reader.one_of("kind", kinds, "read"));
    entry.route = reader.required_text("route");
    entry.name = reader.text("name", entry.route);
    entry.weight = reader.real("weight", entry.weight, 0, 1e6);
    const auto fallback = entry.kind == request_kind::upload ? std::uint64_t{1} << 20U : small_body;
    entry.body_bytes = reader.whole("bytes", fallback, 0, most_body);
    reader.reject_unknown_fields();
    return entry;
}

std::vector<mix_entry> read_mix(settings_reader& reader) {
    std::vector<mix_entry> mix;
    double weights = 0;
    for (auto& item : reader.nested_list("mix")) {
        mix.push_back(read_mix_entry(item));
        weights += mix.back().weight;
    }
    if (weights <= 0) {
        reader.reject("mix", "at least one entry with a weight above 0");
    }
    return mix;
}

std::vector<load_account> read_accounts(settings_reader& reader) {
    std::vector<load_account> accounts;
    for (auto& item : reader.nested_list("accounts")) {
        accounts.push_back({item.required_text("name"), item.text("region", "")});
        item.reject_unknown_fields();
    }
    if (accounts.empty()) {
        reader.reject("accounts", "at least one account");
    }
    return accounts;
}

void check_regions(settings_reader& reader, const load_settings& settings) {
    for (const auto& account : settings.accounts) {
        bool served = false;
        for (const auto& router : settings.routers) {
            served = served || account.region.empty() || router.region.empty() ||
                     router.region == account.region;
        }
        if (!served && !settings.routers.empty()) {
            reader.reject("accounts", "a router in the region '" + account.region +
                                          "' of account '" + account.name + "'");
        }
    }
}

}  // namespace detail

load_settings read_load_settings(const std::string& file,
                                 std::span<const settings_override> overrides,
                                 std::span<const std::string> routers,
                                 std::vector<settings_problem>& problems) {
    constexpr std::array<std::string_view, 2> modes{"open", "closed"};
    const auto map = load_settings_file(file, overrides, problems);
    settings_reader reader(file, map, "", problems);
    load_settings settings;
    settings.routers = detail::read_routers(reader, routers, problems);
    settings.mode = reader.one_of("mode", modes, "open") == "open" ? load_mode::open_loop
                                                                   : load_mode::closed_loop;
    settings.rate = reader.real("rate", settings.rate, 0.001, 1e6);
    settings.duration = detail::read_ms(reader, "duration_ms", settings.duration);
    settings.count = reader.whole("count", settings.count, 0, UINT64_MAX);
    settings.connections =
        static_cast<std::uint32_t>(reader.whole("connections", settings.connections, 1, 10'000));
    settings.timeout = detail::read_ms(reader, "timeout_ms", settings.timeout);
    settings.repeats =
        static_cast<std::uint32_t>(reader.whole("repeats", settings.repeats, 0, 100));
    settings.repeat_wait = detail::read_ms(reader, "repeat_wait_ms", settings.repeat_wait);
    settings.seed = reader.whole("seed", settings.seed, 0, UINT64_MAX);
    settings.run = reader.text("run", "");
    settings.history_file = reader.text("history_file", "");
    settings.keys = detail::read_keys(reader.nested("keys"));
    settings.accounts = detail::read_accounts(reader);
    settings.mix = detail::read_mix(reader);
    detail::check_regions(reader, settings);
    reader.reject_unknown_fields();
    return settings;
}

}  // namespace mimosavalve::load
