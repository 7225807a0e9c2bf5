#include "command/query_parser.hpp"

#include <array>
#include <limits>

#include "config/fleet_limits.hpp"

namespace mimosavalve::command {

namespace detail {

using std::chrono::milliseconds;
using words = std::span<const std::string_view>;

constexpr milliseconds longest_wait{600'000};
constexpr milliseconds longest_look_back{7L * 24 * 3'600'000};

// Unix times in milliseconds stay below this for more than 250 years.
constexpr std::uint64_t largest_time = 10'000'000'000'000;

// "ACCOUNT/ID", where the id may hold more slashes.
bool split_key(token_reader& in, std::string& account, std::string& id) {
    const auto place = in;
    const auto key = in.text("a key ACCOUNT/ID");
    const auto slash = key.find('/');
    if (slash == 0 || slash == std::string::npos || slash + 1 == key.size()) {
        if (!in.failed()) {
            in = place;
            in.fail("a key ACCOUNT/ID");
        }
        return false;
    }
    account = key.substr(0, slash);
    id = key.substr(slash + 1);
    return true;
}

query read_owner(token_reader& in) {
    constexpr std::array<std::string_view, 2> kinds{"key", "slot"};
    in.expect("of");
    if (in.one_of(kinds) == std::size_t{0}) {
        show_key_owner out;
        out.route = in.name("a route");
        split_key(in, out.account, out.id);
        return out;
    }
    show_slot_owner out;
    out.service = in.name("a service");
    out.region = in.name("a region");
    out.slot = static_cast<std::uint32_t>(
        in.integer("a slot number", 0, config::most_slots_per_region - 1));
    return out;
}

query read_target_slots(token_reader& in) {
    in.expect("of");
    in.expect("target");
    return show_target_slots{in.name("a target")};
}

query read_config(token_reader& in) {
    constexpr std::array<std::string_view, 8> fields{"all",      "regions", "services", "routes",
                                                     "accounts", "domains", "drains",   "commands"};
    if (in.at_end()) {
        return show_config{};
    }
    const auto field = in.one_of(fields);
    return show_config{static_cast<config_field>(field.value_or(0))};
}

query read_show(token_reader& in) {
    constexpr std::array<std::string_view, 8> subjects{"owner",    "slots",   "account", "config",
                                                       "in-force", "targets", "routers", "rulings"};
    constexpr std::size_t first_overview = 4;
    const auto subject = in.one_of(subjects);
    switch (subject.value_or(first_overview)) {
        case 0:
            return read_owner(in);
        case 1:
            return read_target_slots(in);
        case 2:
            return show_account{in.name("an account")};
        case 3:
            return read_config(in);
        default:
            return show_overview{
                static_cast<overview>(subject.value_or(first_overview) - first_overview)};
    }
}

since_time read_since(token_reader& in) {
    since_time out;
    if (in.at_duration()) {
        out.ago = in.duration("a time back", longest_look_back);
    } else {
        out.unix_ms =
            in.integer("a length of time such as 10m, or Unix milliseconds", 0, largest_time);
    }
    return out;
}

query read_explain(token_reader& in) {
    constexpr std::array<std::string_view, 4> kinds{"key", "target", "request", "account"};
    explain out;
    out.kind = static_cast<subject_kind>(in.one_of(kinds).value_or(0));
    if (out.kind == subject_kind::key) {
        std::string account;
        std::string id;
        split_key(in, account, id);
        out.name = account + "/" + id;
    } else if (out.kind == subject_kind::request) {
        out.name = in.text("a request id");
    } else {
        out.name = in.name(out.kind == subject_kind::target ? "a target" : "an account");
    }
    if (!in.at_end()) {
        in.expect("since");
        out.since = read_since(in);
    }
    return out;
}

query read_wait(token_reader& in) {
    wait_version out;
    out.version =
        in.integer("a configuration version", 1, std::numeric_limits<std::uint64_t>::max());
    if (!in.at_end()) {
        in.expect("within");
        out.within = in.duration("a length of time", longest_wait);
    }
    return out;
}

}  // namespace detail

query read_query(token_reader& in, std::string_view first_word) {
    if (first_word == "show") {
        return detail::read_show(in);
    }
    if (first_word == "explain") {
        return detail::read_explain(in);
    }
    if (first_word == "wait") {
        return detail::read_wait(in);
    }
    return show_overview{overview::status};
}

}  // namespace mimosavalve::command
