#include "command/change_parser.hpp"

#include <array>
#include <limits>

#include "config/fleet_limits.hpp"

namespace mimosavalve::command {

namespace detail {

using std::chrono::milliseconds;

// Reads "FIELD VALUE" pairs until the options begin. `read` takes the value of the field at the
// given position and returns false when the field was given before.
template <typename Read>
void read_fields(token_reader& in, std::span<const std::string_view> fields, Read read) {
    do {
        const auto place = in;
        const auto field = in.one_of(fields);
        if (!field) {
            return;
        }
        if (!read(*field)) {
            in = place;
            in.fail("each field once");
        }
    } while (!in.failed() && !in.at_end() && !in.at_option());
}

template <typename Value, typename Read>
bool read_once(std::optional<Value>& out, Read read) {
    if (out) {
        return false;
    }
    out = read();
    return true;
}

change read_set_route(token_reader& in) {
    constexpr std::array<std::string_view, 5> fields{"service", "priority", "non-idempotent",
                                                     "timeout", "body"};
    constexpr std::array<std::string_view, 3> priorities{"status", "order", "upload"};
    set_route out;
    out.name = in.name("a route");
    read_fields(in, fields, [&](std::size_t field) {
        switch (field) {
            case 0:
                return read_once(out.service, [&] { return in.name("a service"); });
            case 1:
                return read_once(out.priority, [&] {
                    return static_cast<config::traffic_class>(in.one_of(priorities).value_or(0));
                });
            case 2:
                return read_once(out.non_idempotent, [&] { return in.yes_or_no(); });
            case 3:
                return read_once(out.timeout, [&] {
                    return in.duration("a length of time",
                                       milliseconds(config::longest_timeout_ms));
                });
            default:
                return read_once(out.max_body_bytes,
                                 [&] { return in.size(config::largest_body_bytes); });
        }
    });
    return out;
}

change read_set_service(token_reader& in) {
    constexpr std::array<std::string_view, 3> fields{"keyed", "slots", "checks-fence"};
    set_service out;
    out.name = in.name("a service");
    read_fields(in, fields, [&](std::size_t field) {
        switch (field) {
            case 0:
                return read_once(out.keyed, [&] { return in.yes_or_no(); });
            case 1:
                return read_once(out.slots_per_region, [&] {
                    return static_cast<std::uint32_t>(
                        in.integer("a number of slots", 1, config::most_slots_per_region));
                });
            default:
                return read_once(out.checks_fence, [&] { return in.yes_or_no(); });
        }
    });
    return out;
}

std::vector<std::string> read_home(token_reader& in) {
    if (in.accept("any")) {
        return {};
    }
    return in.names("regions, or 'any'");
}

change read_set_account(token_reader& in) {
    constexpr std::array<std::string_view, 2> fields{"home", "limit"};
    set_account out;
    out.name = in.name("an account");
    read_fields(in, fields, [&](std::size_t field) {
        if (field == 0) {
            return read_once(out.home_regions, [&] { return read_home(in); });
        }
        return read_once(out.requests_per_second,
                         [&] { return in.rate(config::largest_account_rate); });
    });
    return out;
}

change read_set_limit(token_reader& in) {
    set_account out;
    out.name = in.name("an account");
    out.requests_per_second = in.rate(config::largest_account_rate);
    return out;
}

change read_set(token_reader& in) {
    constexpr std::array<std::string_view, 4> kinds{"route", "service", "account", "limit"};
    switch (in.one_of(kinds).value_or(0)) {
        case 0:
            return read_set_route(in);
        case 1:
            return read_set_service(in);
        case 2:
            return read_set_account(in);
        default:
            return read_set_limit(in);
    }
}

change read_remove(token_reader& in) {
    constexpr std::array<std::string_view, 3> kinds{"route", "account", "domain"};
    switch (in.one_of(kinds).value_or(0)) {
        case 0:
            return remove_route{in.name("a route")};
        case 1:
            return remove_account{in.name("an account")};
        default:
            return remove_domain{in.name("a failure domain")};
    }
}

change read_rule(token_reader& in) {
    rule_scope out;
    out.scope = in.scope();
    in.expect("uphold");
    out.upheld = in.name("the side that is upheld");
    return out;
}

void read_option(token_reader& in, change_command& out) {
    const auto place = in;
    const auto option = in.take().text;
    if (option == "id" && out.id.empty()) {
        out.id = in.name("an identity");
    } else if (option == "based-on" && !out.based_on) {
        out.based_on =
            in.integer("a configuration version", 1, std::numeric_limits<std::uint64_t>::max());
    } else if (option == "dry-run" && !out.dry_run) {
        out.dry_run = true;
    } else {
        in = place;
        in.fail("'--id', '--based-on' or '--dry-run', each once");
    }
}

}  // namespace detail

change read_change(token_reader& in, std::string_view first_word) {
    if (first_word == "set") {
        return detail::read_set(in);
    }
    if (first_word == "remove") {
        return detail::read_remove(in);
    }
    if (first_word == "rule") {
        return detail::read_rule(in);
    }
    if (first_word == "return") {
        in.expect("domain");
        return return_domain{in.name("a failure domain")};
    }
    if (first_word == "activate") {
        in.expect("account");
        return activate_account{in.name("an account")};
    }
    in.expect("target");
    auto target = in.name("a target");
    if (first_word == "undrain") {
        return undrain_target{std::move(target)};
    }
    return drain_target{std::move(target)};
}

void read_options(token_reader& in, change_command& out) {
    while (!in.failed() && in.at_option()) {
        detail::read_option(in, out);
    }
}

}  // namespace mimosavalve::command
