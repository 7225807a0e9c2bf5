#include "peer_codec.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace mimosavalve::gateway::detail {

std::string to_bytes(const json& value) {
    std::string out;
    json::to_cbor(value, nlohmann::detail::output_adapter<char>(out));
    return out;
}

// Builds a value as far as its nesting is as deep as that of the messages below. The decoder calls
// itself for each level, so that deeper ones could exhaust the stack.
class bounded_builder : public nlohmann::detail::json_sax_dom_parser<json> {
public:
    explicit bounded_builder(json& out) : json_sax_dom_parser(out, false) {}

    bool start_object(std::size_t size) {
        return ++depth_ <= max_depth && json_sax_dom_parser::start_object(size);
    }
    bool end_object() {
        --depth_;
        return json_sax_dom_parser::end_object();
    }
    bool start_array(std::size_t size) {
        return ++depth_ <= max_depth && json_sax_dom_parser::start_array(size);
    }
    bool end_array() {
        --depth_;
        return json_sax_dom_parser::end_array();
    }

private:
    static constexpr int max_depth = 16;
    int depth_ = 0;
};

json from_bytes(std::string_view bytes) {
    json out;
    bounded_builder builder(out);
    const bool is_whole =
        json::sax_parse(bytes.begin(), bytes.end(), &builder, json::input_format_t::cbor, true);
    return is_whole ? out : json(json::value_t::discarded);
}

json segments_to_json(const std::vector<key_segment>& segments) {
    json out = json::array();
    for (const auto& segment : segments) {
        out.push_back({segment.first, segment.last, segment.owner, segment.fence, segment.moving,
                       segment.owner_instance, segment.wait_ms});
    }
    return out;
}

std::vector<key_segment> segments_from_json(const json& value) {
    std::vector<key_segment> out;
    for (const auto& item : value) {
        out.push_back(
            {item.at(0), item.at(1), item.at(2), item.at(3), item.at(4), item.at(5), item.at(6)});
    }
    return out;
}

json registry_to_json(const registry_update& update) {
    json targets = json::array();
    for (const auto& entry : update.entries) {
        targets.push_back({entry.id, entry.service, entry.address, entry.failure_domain,
                           entry.slots, entry.leaving, entry.remaining_cold_ms,
                           entry.started_unix_ms, entry.sequence});
    }
    json gone = json::array();
    for (const auto& [id, target] : update.gone) {
        gone.push_back({id, target.started_unix_ms, target.sequence});
    }
    return {{"whole", update.whole},
            {"revision", update.revision},
            {"targets", std::move(targets)},
            {"removed", update.removed},
            {"gone", std::move(gone)}};
}

registry_update registry_from_json(const json& value) {
    registry_update out;
    out.whole = value.at("whole");
    out.revision = value.at("revision");
    out.removed = value.at("removed").get<std::vector<std::string>>();
    // The receiver decides how long it remembers them. Routers of an earlier version send none.
    for (const auto& item : value.value("gone", json::array())) {
        out.gone.insert_or_assign(item.at(0).get<std::string>(),
                                  gone_target{item.at(1), item.at(2), {}});
    }
    for (const auto& item : value.at("targets")) {
        out.entries.push_back({item.at(0), item.at(1), item.at(2), item.at(3), item.at(4),
                               item.at(5), item.at(6), item.at(7), item.at(8)});
        out.entries.back().slots = std::min(out.entries.back().slots, max_target_slots);
    }
    return out;
}

json rules_to_json(const route& of) {
    json services = json::array();
    for (const auto& part : of.services) {
        services.push_back({part.service, part.weight});
    }
    return {static_cast<std::uint32_t>(of.kind),
            of.timeout.count(),
            of.objective.count(),
            of.max_attempts,
            of.priority,
            std::move(services),
            of.home_regions};
}

route route_from_json(const json& value, const json& rules) {
    route out;
    out.name = value.at(0);
    out.host = value.at(1);
    out.prefix = value.at(2);
    const auto kind = rules.at(0).get<std::uint32_t>();
    // Requests of an unknown kind must not be retried.
    out.kind = kind <= static_cast<std::uint32_t>(request_kind::download)
                   ? static_cast<request_kind>(kind)
                   : request_kind::non_idempotent;
    out.timeout = milliseconds(rules.at(1).get<std::int64_t>());
    out.objective = milliseconds(rules.at(2).get<std::int64_t>());
    out.max_attempts = rules.at(3);
    out.priority = rules.at(4);
    for (const auto& part : rules.at(5)) {
        out.services.push_back({part.at(0), part.at(1)});
    }
    out.home_regions = rules.at(6).get<std::vector<std::string>>();
    return out;
}

// Many routes have the same rules, which are sent once.
json config_to_json(const config_update& update) {
    std::map<std::string, std::size_t> numbers;
    json rules = json::array();
    json routes = json::array();
    for (const auto& each : update.routes) {
        auto encoded = rules_to_json(each);
        const auto [known, added] = numbers.try_emplace(to_bytes(encoded), rules.size());
        if (added) {
            rules.push_back(std::move(encoded));
        }
        routes.push_back({each.name, each.host, each.prefix, known->second});
    }
    json services = json::array();
    for (const auto& [name, each] : update.services) {
        services.push_back({name, each.max_connections, each.cold_time.count(),
                            each.cold_requests_per_second, each.keyed});
    }
    const auto& limits = update.limits;
    return {{"whole", update.whole},
            {"from", update.from_version},
            {"version", update.version},
            {"rules", std::move(rules)},
            {"routes", std::move(routes)},
            {"removed", update.removed},
            {"services", std::move(services)},
            {"limits",
             {limits.max_header_bytes, limits.max_body_bytes, limits.header_timeout.count(),
              limits.idle_timeout.count()}}};
}

config_update config_from_json(const json& value) {
    config_update out;
    out.whole = value.at("whole");
    out.from_version = value.at("from");
    out.version = value.at("version");
    const auto& rules = value.at("rules");
    for (const auto& each : value.at("routes")) {
        out.routes.push_back(route_from_json(each, rules.at(each.at(3).get<std::size_t>())));
    }
    out.removed = value.at("removed").get<std::vector<std::string>>();
    for (const auto& each : value.at("services")) {
        service kind;
        kind.name = each.at(0);
        kind.max_connections = each.at(1);
        kind.cold_time = milliseconds(each.at(2).get<std::int64_t>());
        kind.cold_requests_per_second = each.at(3);
        kind.keyed = each.at(4);
        out.services.insert_or_assign(kind.name, kind);
    }
    const auto& limits = value.at("limits");
    out.limits = {limits.at(0), limits.at(1), milliseconds(limits.at(2).get<std::int64_t>()),
                  milliseconds(limits.at(3).get<std::int64_t>())};
    return out;
}

json crashes_to_json(const crash_report& report, boot_time now) {
    json losses = json::array();
    for (const auto& loss : report.losses) {
        losses.push_back({loss.target_instance, loss.fingerprint,
                          std::max<std::int64_t>(-milliseconds_until(loss.at, now), 0)});
    }
    return {std::move(losses), report.ended_instances, report.answered_suspects};
}

crash_report crashes_from_json(const json& body, boot_time now) {
    crash_report report;
    for (const auto& loss : body.at(0)) {
        report.losses.push_back(
            {loss.at(0), loss.at(1), now - milliseconds(loss.at(2).get<std::int64_t>())});
    }
    report.ended_instances = body.at(1).get<std::set<std::string>>();
    report.answered_suspects = body.at(2).get<std::set<std::uint64_t>>();
    return report;
}

json confirmed_crashes_to_json(const crash_findings& findings, boot_time now) {
    json crashes = json::array();
    for (const auto& crash : findings.crashes) {
        crashes.push_back({crash.target_instance, crash.fingerprints,
                           std::max<std::int64_t>(-milliseconds_until(crash.at, now), 0)});
    }
    return crashes;
}

std::vector<confirmed_crash> confirmed_crashes_from_json(const json& body, boot_time now) {
    std::vector<confirmed_crash> crashes;
    for (const auto& crash : body) {
        crashes.push_back({crash.at(0), crash.at(1).get<std::vector<std::uint64_t>>(),
                           now - milliseconds(crash.at(2).get<std::int64_t>())});
    }
    return crashes;
}

}  // namespace mimosavalve::gateway::detail
