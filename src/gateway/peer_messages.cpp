#include "mimosavalve/gateway/peer_messages.hpp"

#include <nlohmann/json.hpp>

namespace mimosavalve::gateway {

namespace detail {

// The names in messages must not change, also where the code has other names for the same values.

using nlohmann::json;

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

// Value of a message; a discarded one if the bytes are no message.
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
    out.kind = kind <= static_cast<std::uint32_t>(request_kind::upload)
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

}  // namespace detail

std::string encode(const sync_request& message) {
    detail::json loads = detail::json::object();
    for (const auto& [service, load] : message.key_loads) {
        detail::json counts = detail::json::array();
        for (const auto& [key, count] : load.counts) {
            counts.push_back(key);
            counts.push_back(count);
        }
        loads[service] = {load.keys_per_counter, std::move(counts)};
    }
    detail::json work = detail::json::object();
    for (const auto& [id, report] : message.work) {
        work[id] = {report.count, report.sum_ms};
    }
    detail::json body = {{"host", message.host},
                         {"address", message.address},
                         {"domain", message.failure_domain},
                         {"demand", message.demand},
                         {"work", std::move(work)},
                         {"run", message.instance},
                         {"epoch", message.epoch},
                         {"store_lost", message.store_lost},
                         {"knows_long", message.long_holds_received},
                         {"long_age", message.long_holds_age_ms},
                         {"config", message.config_version},
                         {"reply", message.reply_number},
                         {"registry", message.registry_number},
                         {"maps", message.map_numbers},
                         {"loads", std::move(loads)}};
    if (!message.leaving.empty()) {
        body["leaving"] = message.leaving;
    }
    for (const auto& [id, limit] : message.limits) {
        body["limits"][id] = {limit.started_unix_ms, limit.request_limit, limit.age_ms, limit.held};
    }
    const auto& crashes = message.crashes;
    if (!crashes.losses.empty() || !crashes.ended_instances.empty() ||
        !crashes.answered_suspects.empty()) {
        body["crashes"] = detail::crashes_to_json(crashes, boot_clock::now());
    }
    return detail::to_bytes(body);
}

std::optional<sync_request> decode_sync_request(std::string_view bytes) {
    try {
        const auto body = detail::from_bytes(bytes);
        sync_request out;
        out.host = body.at("host");
        out.address = body.at("address");
        out.failure_domain = body.at("domain");
        out.instance = body.at("run");
        out.epoch = body.at("epoch");
        out.store_lost = body.at("store_lost");
        out.long_holds_received = body.at("knows_long");
        out.long_holds_age_ms = body.at("long_age");
        out.config_version = body.at("config");
        out.reply_number = body.at("reply");
        out.registry_number = body.at("registry");
        out.map_numbers = body.at("maps").get<std::map<std::string, std::uint64_t>>();
        out.demand = body.at("demand").get<std::map<std::string, std::uint32_t>>();
        for (const auto& [id, value] : body.at("work").items()) {
            out.work[id] = {value.at(0), value.at(1)};
        }
        if (body.contains("crashes")) {
            out.crashes = detail::crashes_from_json(body.at("crashes"), boot_clock::now());
        }
        if (body.contains("leaving")) {
            out.leaving = body.at("leaving").get<std::map<std::string, std::uint64_t>>();
        }
        if (body.contains("limits")) {
            for (const auto& [id, limit] : body.at("limits").items()) {
                out.limits[id] = {limit.at(0), limit.at(1), limit.at(2), limit.at(3)};
            }
        }
        for (const auto& [service, value] : body.at("loads").items()) {
            key_load load;
            load.keys_per_counter = std::max(value.at(0).get<std::uint32_t>(), 1U);
            const auto& counts = value.at(1);
            for (std::size_t at = 0; at + 1 < counts.size(); at += 2) {
                load.counts[counts.at(at)] = counts.at(at + 1);
            }
            out.key_loads.emplace(service, std::move(load));
        }
        return out;
    } catch (const detail::json::exception&) {
        return std::nullopt;
    }
}

std::string encode(const sync_reply& message) {
    detail::json body = {{"epoch", message.epoch},
                         {"number", message.number},
                         {"routers", message.routers},
                         {"rank", message.rank},
                         {"store_age_ms", message.store_age_ms},
                         {"held_ms", message.held_ms},
                         {"config", message.config_version},
                         {"long_holds", message.long_holds},
                         {"operators", message.operators_revision},
                         {"evacuated", message.evacuated_domains},
                         {"registry_number", message.registry_number},
                         {"map_numbers", message.map_numbers}};
    if (message.concurrency_quotas) {
        body["places"] = *message.concurrency_quotas;
    }
    if (message.rate_quotas) {
        body["rates"] = *message.rate_quotas;
    }
    if (!message.work_ms.empty()) {
        body["work_ms"] = message.work_ms;
    }
    if (!message.limit_shares.empty()) {
        body["limit_shares"] = message.limit_shares;
    }
    if (message.crashes) {
        body["crashes"] = {message.crashes->suspects, message.crashes->quarantined};
    }
    if (message.config) {
        body["config_update"] = detail::config_to_json(*message.config);
    }
    if (!message.config_source.empty()) {
        body["config_source"] = message.config_source;
    }
    if (message.registry) {
        body["registry"] = detail::registry_to_json(*message.registry);
    }
    if (!message.maps.empty()) {
        auto& maps = body["maps"];
        for (const auto& [service, update] : message.maps) {
            maps[service] = {update.whole, detail::segments_to_json(update.segments)};
        }
    }
    return detail::to_bytes(body);
}

std::optional<sync_reply> decode_sync_reply(std::string_view bytes) {
    try {
        const auto body = detail::from_bytes(bytes);
        sync_reply out;
        out.epoch = body.at("epoch");
        out.number = body.at("number");
        out.routers = body.at("routers");
        out.rank = body.at("rank");
        out.store_age_ms = body.at("store_age_ms");
        out.held_ms = body.value("held_ms", std::uint64_t{0});
        out.config_version = body.at("config");
        out.long_holds = body.at("long_holds");
        out.operators_revision = body.at("operators");
        out.evacuated_domains = body.at("evacuated").get<std::set<std::string>>();
        out.registry_number = body.at("registry_number");
        out.map_numbers = body.at("map_numbers").get<std::map<std::string, std::uint64_t>>();
        if (body.contains("places")) {
            out.concurrency_quotas = body.at("places").get<std::map<std::string, std::uint32_t>>();
        }
        if (body.contains("rates")) {
            out.rate_quotas = body.at("rates").get<std::map<std::string, double>>();
        }
        if (body.contains("work_ms")) {
            out.work_ms = body.at("work_ms").get<std::map<std::string, double>>();
        }
        if (body.contains("crashes")) {
            const auto& crashes = body.at("crashes");
            out.crashes = {crashes.at(0).get<std::set<std::uint64_t>>(),
                           crashes.at(1).get<std::set<std::uint64_t>>()};
        }
        if (body.contains("config_update")) {
            out.config = detail::config_from_json(body.at("config_update"));
        }
        out.config_source = body.value("config_source", "");
        if (body.contains("limit_shares")) {
            out.limit_shares = body.at("limit_shares").get<std::map<std::string, double>>();
        }
        if (body.contains("registry")) {
            out.registry = detail::registry_from_json(body.at("registry"));
        }
        if (body.contains("maps")) {
            for (const auto& [service, update] : body.at("maps").items()) {
                out.maps[service] = {update.at(0), detail::segments_from_json(update.at(1))};
            }
        }
        return out;
    } catch (const detail::json::exception&) {
        return std::nullopt;
    }
}

std::string encode_config_request(std::uint64_t version) {
    return detail::to_bytes({{"version", version}});
}

std::optional<std::uint64_t> decode_config_request(std::string_view bytes) {
    try {
        return detail::from_bytes(bytes).at("version").get<std::uint64_t>();
    } catch (const detail::json::exception&) {
        return std::nullopt;
    }
}

std::string encode(const config_update& update) {
    return detail::to_bytes(detail::config_to_json(update));
}

std::optional<config_update> decode_config_update(std::string_view bytes) {
    try {
        return detail::config_from_json(detail::from_bytes(bytes));
    } catch (const detail::json::exception&) {
        return std::nullopt;
    }
}

std::string encode(const leader_identity& message) {
    detail::json body = {{"host", message.host},
                         {"address", message.address},
                         {"run", message.instance},
                         {"epoch", message.epoch}};
    if (message.store_era) {
        body["era"] = *message.store_era;
    }
    return detail::to_bytes(body);
}

std::optional<leader_identity> decode_leader_identity(std::string_view bytes) {
    try {
        const auto body = detail::from_bytes(bytes);
        leader_identity out;
        out.host = body.at("host");
        out.address = body.at("address");
        out.instance = body.at("run");
        out.epoch = body.at("epoch");
        if (body.contains("era")) {
            out.store_era = body.at("era").get<std::uint64_t>();
        }
        return out;
    } catch (const detail::json::exception&) {
        return std::nullopt;
    }
}

std::string encode(const router_record& record) {
    auto body = detail::json::object();
    for (const auto& [host, instance] : record.instances) {
        body[host] = {instance.id, instance.address, record.epoch};
    }
    return detail::to_bytes(body);
}

std::optional<router_record> decode_router_record(std::string_view bytes) {
    constexpr std::size_t epoch_at = 2;
    try {
        const auto body = detail::from_bytes(bytes);
        router_record out;
        for (const auto& [host, value] : body.items()) {
            out.instances.emplace(host, router_instance(value.at(0).get<std::uint64_t>(),
                                                        value.at(1).get<std::string>()));
            if (value.size() > epoch_at) {
                out.epoch = value.at(epoch_at);
            }
        }
        return out;
    } catch (const detail::json::exception&) {
        return std::nullopt;
    }
}

std::string encode(const key_record& record) {
    auto body = detail::segments_to_json(record.owners.segments);
    // Earlier versions of the program ignore further values of a segment.
    body.at(0).push_back(record.epoch);
    return detail::to_bytes(body);
}

std::optional<key_record> decode_key_record(std::string_view bytes) {
    constexpr std::size_t epoch_at = 7;
    try {
        const auto body = detail::from_bytes(bytes);
        key_record out{{detail::segments_from_json(body)}, 0};
        if (!problem_of(out.owners).empty()) {
            return std::nullopt;
        }
        if (body.at(0).size() > epoch_at) {
            out.epoch = body.at(0).at(epoch_at);
        }
        return out;
    } catch (const detail::json::exception&) {
        return std::nullopt;
    }
}

std::string encode(const key_map& map) {
    return detail::to_bytes(detail::segments_to_json(map.segments));
}

std::optional<key_map> decode_key_map(std::string_view bytes) {
    auto record = decode_key_record(bytes);
    return record ? std::optional(std::move(record->owners)) : std::nullopt;
}

}  // namespace mimosavalve::gateway
