#include "mimosavalve/adapters/host_json.hpp"

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>

#include "mimosavalve/adapters/http_message.hpp"

namespace mimosavalve::adapters {

namespace {

using nlohmann::json;

// Each function leaves a missing field as it is and is false for a wrong type.
bool take(const json& object, const char* field, std::string& value) {
    const auto found = object.find(field);
    if (found == object.end()) {
        return true;
    }
    if (!found->is_string()) {
        return false;
    }
    value = found->get<std::string>();
    return true;
}

bool take(const json& object, const char* field, std::uint32_t& value) {
    const auto found = object.find(field);
    if (found == object.end()) {
        return true;
    }
    if (!found->is_number_unsigned() ||
        found->get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max()) {
        return false;
    }
    value = found->get<std::uint32_t>();
    return true;
}

bool take(const json& object, const char* field, bool& value) {
    const auto found = object.find(field);
    if (found == object.end()) {
        return true;
    }
    if (!found->is_boolean()) {
        return false;
    }
    value = found->get<bool>();
    return true;
}

bool is_valid(const ports::listed_host& host) {
    const auto known_role = host.role == "router" || host.role == "target";
    return !host.id.empty() && known_role && parse_endpoint(host.address) && host.slots > 0 &&
           host.connections > 0;
}

std::optional<ports::listed_host> host_in(const json& object) {
    ports::listed_host host;
    const auto typed =
        object.is_object() && take(object, "id", host.id) && take(object, "role", host.role) &&
        take(object, "service", host.service) && take(object, "address", host.address) &&
        take(object, "region", host.region) &&
        take(object, "failure_domain", host.failure_domain) && take(object, "slots", host.slots) &&
        take(object, "connections", host.connections) && take(object, "leaving", host.leaving);
    if (!typed || !is_valid(host)) {
        return std::nullopt;
    }
    return host;
}

json json_of(const ports::listed_host& host) {
    return {{"id", host.id},           {"role", host.role},
            {"service", host.service}, {"address", host.address},
            {"region", host.region},   {"failure_domain", host.failure_domain},
            {"slots", host.slots},     {"connections", host.connections},
            {"leaving", host.leaving}};
}

}  // namespace

std::string encode_hosts(std::span<const ports::listed_host> hosts) {
    auto list = json::array();
    for (const auto& host : hosts) {
        list.push_back(json_of(host));
    }
    return list.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<std::vector<ports::listed_host>> decode_hosts(std::string_view text) {
    const auto list = json::parse(text, nullptr, false);
    if (!list.is_array()) {
        return std::nullopt;
    }
    std::vector<ports::listed_host> hosts;
    std::set<std::string> ids;
    for (const auto& object : list) {
        auto host = host_in(object);
        if (!host || !ids.insert(host->id).second) {
            return std::nullopt;
        }
        hosts.push_back(std::move(*host));
    }
    return hosts;
}

std::optional<ports::listed_host> decode_host(std::string_view text) {
    return host_in(json::parse(text, nullptr, false));
}

}  // namespace mimosavalve::adapters
