#include "mimosavalve/standins/hosts_settings.hpp"

#include <yaml-cpp/yaml.h>

#include <cstddef>
#include <cstdint>
#include <set>
#include <sstream>

#include "mimosavalve/standins/settings_reader.hpp"

namespace mimosavalve::standins {

namespace {

constexpr std::uint32_t most_slots = 1000000;

ports::listed_host read_host(const YAML::Node& map, const std::string& file, std::size_t index,
                             std::vector<std::string>& errors) {
    ports::listed_host host;
    settings_reader reader(map, file, errors, "hosts[" + std::to_string(index) + "].");
    reader.read("id", host.id, true);
    reader.read_choice("role", host.role, {"router", "target"});
    reader.read("service", host.service);
    reader.read_address("address", host.address, true);
    reader.read("region", host.region, true);
    reader.read("failure_domain", host.failure_domain, true);
    reader.read("slots", host.slots, 1, most_slots);
    reader.read("connections", host.connections, 1, most_slots);
    reader.read("leaving", host.leaving);
    reader.finish();
    return host;
}

void check_ids(const YAML::Node& sequence, const std::string& file,
               const std::vector<ports::listed_host>& hosts, std::vector<std::string>& errors) {
    std::set<std::string> ids;
    for (std::size_t index = 0; index < hosts.size(); ++index) {
        const auto& id = hosts[index].id;
        if (!id.empty() && !ids.insert(id).second) {
            std::ostringstream text;
            text << file << ":" << sequence[index].Mark().line + 1 << ": hosts[" << index
                 << "].id is \"" << id
                 << "\" a second time; allowed: an id of its own for each host";
            errors.push_back(text.str());
        }
    }
}

}  // namespace

hosts_settings load_hosts_settings(const std::string& file, std::vector<std::string>& errors) {
    hosts_settings settings;
    const auto document = load_yaml(file, errors);
    if (!errors.empty()) {
        return settings;
    }
    settings_reader reader(document, file, errors);
    reader.read_address("listen", settings.listen);
    reader.read("port_file", settings.port_file);
    reader.read("lag_ms", settings.lag, std::chrono::milliseconds(3600000));
    const auto hosts = reader.read_sequence("hosts");
    reader.finish();
    if (hosts.IsDefined()) {
        for (std::size_t index = 0; index < hosts.size(); ++index) {
            settings.hosts.push_back(read_host(hosts[index], file, index, errors));
        }
        check_ids(hosts, file, settings.hosts, errors);
    }
    return settings;
}

}  // namespace mimosavalve::standins
