#include "mimosavalve/gateway/peer_messages.hpp"

#include <algorithm>

#include "peer_codec.hpp"

namespace mimosavalve::gateway {

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
                         {"loads", std::move(loads)},
                         {"capacity", message.capacity},
                         {"lag", message.lag_ms}};
    for (const auto& each : message.misdirected) {
        body["misdirected"].push_back(
            {each.service, each.first_key, each.target, each.target_instance, each.fence});
    }
    if (!message.moved.empty()) {
        body["moved"] = message.moved;
    }
    if (!message.forward_address.empty()) {
        body["forward"] = message.forward_address;
    }
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
        // Routers of earlier versions send none of the following.
        out.capacity = body.value("capacity", 1.0);
        out.lag_ms = body.value("lag", std::uint64_t{0});
        for (const auto& each : body.value("misdirected", detail::json::array())) {
            out.misdirected.push_back({each.at(0), each.at(1), each.at(2), each.at(3), each.at(4)});
        }
        if (body.contains("moved")) {
            out.moved = body.at("moved").get<std::map<std::string, std::uint64_t>>();
        }
        out.forward_address = body.value("forward", "");
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
    if (message.top_capacity > 0) {
        body["top_capacity"] = message.top_capacity;
    }
    if (!message.successor.empty()) {
        body["successor"] = message.successor;
    }
    if (message.dispatchers) {
        body["dispatchers"] = *message.dispatchers;
    }
    if (message.overflow) {
        body["overflow"] = *message.overflow;
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
    if (!message.leaving.empty()) {
        body["leaving"] = message.leaving;
    }
    if (message.crashes) {
        // Earlier versions of the program ignore further values.
        body["crashes"] = {message.crashes->suspects, message.crashes->quarantined,
                           detail::confirmed_crashes_to_json(*message.crashes, boot_clock::now())};
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
        out.top_capacity = body.value("top_capacity", 0.0);
        out.successor = body.value("successor", "");
        if (body.contains("dispatchers")) {
            out.dispatchers = body.at("dispatchers").get<dispatcher_names>();
        }
        if (body.contains("overflow")) {
            out.overflow =
                body.at("overflow").get<std::map<std::string, std::map<std::string, double>>>();
        }
        if (body.contains("rates")) {
            out.rate_quotas = body.at("rates").get<std::map<std::string, double>>();
        }
        if (body.contains("work_ms")) {
            out.work_ms = body.at("work_ms").get<std::map<std::string, double>>();
        }
        if (body.contains("crashes")) {
            constexpr std::size_t confirmed_crashes_at = 2;
            const auto& crashes = body.at("crashes");
            out.crashes = {crashes.at(0).get<std::set<std::uint64_t>>(),
                           crashes.at(1).get<std::set<std::uint64_t>>()};
            if (crashes.size() > confirmed_crashes_at) {
                out.crashes->crashes = detail::confirmed_crashes_from_json(
                    crashes.at(confirmed_crashes_at), boot_clock::now());
            }
        }
        if (body.contains("config_update")) {
            out.config = detail::config_from_json(body.at("config_update"));
        }
        out.config_source = body.value("config_source", "");
        if (body.contains("leaving")) {
            out.leaving = body.at("leaving").get<std::map<std::string, std::uint64_t>>();
        }
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

}  // namespace mimosavalve::gateway
