// Records in the store, and the announcement of a leader.

#include "mimosavalve/gateway/peer_messages.hpp"
#include "peer_codec.hpp"

namespace mimosavalve::gateway {

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
        // Earlier versions of the program ignore further values.
        body[host] = {instance.id, instance.address, record.epoch, record.inherited_holds_ms};
    }
    return detail::to_bytes(body);
}

std::optional<router_record> decode_router_record(std::string_view bytes) {
    constexpr std::size_t epoch_at = 2;
    constexpr std::size_t inherited_holds_at = 3;
    try {
        const auto body = detail::from_bytes(bytes);
        router_record out;
        for (const auto& [host, value] : body.items()) {
            out.instances.emplace(host, router_instance(value.at(0).get<std::uint64_t>(),
                                                        value.at(1).get<std::string>()));
            if (value.size() > epoch_at) {
                out.epoch = value.at(epoch_at);
            }
            if (value.size() > inherited_holds_at) {
                out.inherited_holds_ms = value.at(inherited_holds_at);
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
