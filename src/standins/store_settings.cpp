#include "mimosavalve/standins/store_settings.hpp"

#include <yaml-cpp/yaml.h>

#include "mimosavalve/standins/settings_reader.hpp"

namespace mimosavalve::standins {

store_settings load_store_settings(const std::string& file, std::vector<std::string>& errors) {
    store_settings settings;
    const auto document = load_yaml(file, errors);
    if (!errors.empty()) {
        return settings;
    }
    settings_reader reader(document, file, errors);
    reader.read_address("listen", settings.listen);
    reader.read("port_file", settings.port_file);
    reader.read("delay_ms", settings.service.delay, std::chrono::milliseconds(600000));
    reader.read("calls_per_second", settings.service.calls_per_second, 0, 1000000);
    reader.finish();
    return settings;
}

}  // namespace mimosavalve::standins
